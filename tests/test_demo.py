from currantspur.cli.demonstrating import show_demo


async def test_demo_reports_every_check_as_held(capsys):
    assert await show_demo()
    assert capsys.readouterr().out.count('holds') == 8
