from currantspur.cli.demonstrating import show_demo


async def test_every_expectation_holds(capsys):
    assert await show_demo()
    assert capsys.readouterr().out.count('holds') == 8
