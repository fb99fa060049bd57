from currantspur.demo import run_demo


async def test_demo_holds(capsys):
    assert await run_demo() == 0
    assert 'FAIL' not in capsys.readouterr().out
