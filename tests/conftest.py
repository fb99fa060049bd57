import signal

import pytest
from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

# A test that waits for something that never comes fails; it does not hang.
LONGEST_TEST_S = 30


def stop(_signal, _frame):
    raise TimeoutError(f'longer than {LONGEST_TEST_S} s')


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call():
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(LONGEST_TEST_S)
    try:
        return (yield)
    finally:
        signal.alarm(0)
