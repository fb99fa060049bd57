"""Handle the signals of a process, also those from before it could."""

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Not loaded by this module, which is needed before all others.
    import asyncio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def hold_signals() -> None:
    """Let signals wait until handle_signals; each would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))


def handle_signals(
    loop: 'asyncio.AbstractEventLoop',
    *,
    on_stop: Callable[[], object],
    on_reload: Callable[[], object],
) -> None:
    """Handle signals in a running event loop, first those that wait."""
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, on_stop)
    loop.add_signal_handler(RELOAD_SIGNAL, on_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))
