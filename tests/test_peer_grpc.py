import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from currantspur.errors import PeerAwayError
from currantspur.messages import (
    HeadAnswer,
    HeadRequest,
    Instance,
    Loan,
    LoanRequest,
    MembersAnswer,
    MembersRequest,
    ObjectAnswer,
    ObjectRequest,
    ProofAnswer,
    ProofRequest,
    Receipt,
    VersionNotice,
    WriteAcknowledgement,
    WriteIntent,
)
from currantspur.tasks import Task
from currantspur.wire.peer_codec import CALLS, decode, encode
from currantspur.wire.peer_grpc import GrpcPeers, PeerServer
from tests.ports import find_port

PEER = Instance(name='one', address='', peer='', availability_zone='zone')
CASES = [
    (
        ProofRequest(asker='two'),
        ProofAnswer(
            answerer='one',
            version=7,
            age_s=0.25,
            vouches=True,
            open_writes=('a', 'b'),
        ),
    ),
    (
        LoanRequest(
            asker='two', limit='team/x', tokens=2.5, version=7, loan_id='l'
        ),
        Loan(limit='team/x', tokens=2.5, lapse_s=1.0, loan_id='l'),
    ),
    (
        WriteIntent(writer='two', change_id='c', author='ana', base_version=6),
        WriteAcknowledgement(answerer='one', accepted=True, row_version=4),
    ),
    (VersionNotice(sender='two', version=7), Receipt(answerer='one')),
    (HeadRequest(version=7), HeadAnswer(text='{}')),
    (ObjectRequest(name='a/b'), ObjectAnswer(found=True, body=b'\0\xff')),
    (MembersRequest(asker='two'), MembersAnswer(instances=(PEER, PEER))),
    (
        MembersRequest(asker='', digest='d'),
        MembersAnswer(instances=(), digest='d'),
    ),
]


class Answerer(Task):
    """Give prepared answers in order, then fall silent."""

    def __init__(self, answers):
        super().__init__()
        self.answers = answers
        self.asked = []

    def receive(self, letters):
        for letter in letters:
            self.asked.append(letter.message)
            if self.answers:
                letter.answer(self.answers.pop(0))


@asynccontextmanager
async def serve(answers):
    answerer = Answerer(answers)
    address = f'127.0.0.1:{find_port()}'
    async with AsyncExitStack() as stack:
        server = PeerServer(
            {call.question: answerer.mailbox for call in CALLS},
        )
        await server.start(address)
        stack.push_async_callback(server.stop)
        running = asyncio.create_task(answerer.run())
        stack.callback(running.cancel)
        peers = GrpcPeers()
        stack.push_async_callback(peers.close)
        peer = Instance(
            name='one', address='', peer=address, availability_zone=''
        )
        yield peers, peer, answerer.asked


def test_each_call_has_a_case():
    assert {type(question) for question, _ in CASES} == {
        call.question for call in CALLS
    }


@pytest.mark.parametrize(('question', 'answer'), CASES)
def test_codec_returns_what_it_took(question, answer):
    for message in (question, answer):
        assert decode(type(message), encode(message)) == message


async def test_calls_reach_mailbox_and_come_back():
    async with serve([answer for _, answer in CASES]) as (peers, peer, asked):
        for question, answer in CASES:
            assert await peers.ask(peer, question, timeout_s=5) == answer
    assert asked == [question for question, _ in CASES]


@pytest.mark.parametrize('is_listening', [True, False])
async def test_silence_is_an_error(is_listening):
    async with serve([]) as (peers, peer, _):
        if not is_listening:
            peer.peer = f'127.0.0.1:{find_port()}'
        with pytest.raises(PeerAwayError):
            await peers.ask(peer, ProofRequest(asker='two'), timeout_s=0.2)


def test_garbage_is_an_error():
    with pytest.raises(PeerAwayError):
        decode(ProofAnswer, b'\xff\xff')
