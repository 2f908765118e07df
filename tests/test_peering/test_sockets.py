"""Tests of the sockets on the event loop."""

from __future__ import annotations

import asyncio

import zmq

from jasminebeam.peering import sockets


async def test_faulty_message_does_not_stop_those_behind_it():
    """The handler raises for the first of three messages."""
    context = zmq.Context()
    sender, receiver = context.socket(zmq.PAIR), context.socket(zmq.PAIR)
    receiver.bind('inproc://pair')
    sender.connect('inproc://pair')
    seen = []
    done = asyncio.Event()

    def handle(frames):
        seen.append(frames[0])
        if len(seen) == 3:
            done.set()
        if frames[0] == b'faulty':
            raise ValueError('unexpected')

    polled = sockets.PolledSocket(receiver, handle)
    for frame in (b'faulty', b'one', b'two'):
        sender.send(frame)
    await done.wait()
    assert seen == [b'faulty', b'one', b'two']
    polled.close()
    sender.close(linger=0)
    context.term()


async def test_refused_connection_is_reported():
    """The monitor tells of it, and the socket does not try again."""
    context = zmq.Context()
    lost = asyncio.Event()
    transport = sockets.ZmqTransport(context, '127.0.0.1', None)
    wire = transport.open('127.0.0.1:1', lambda frame: None, lost.set)
    await lost.wait()
    wire.close()
    context.term()
