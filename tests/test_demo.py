from currantspur.cli.demonstrating import show_demo


async def test_all_eight_demo_checks_hold(capsys):
    assert await show_demo()
    assert capsys.readouterr().out.count('holds') == 8
