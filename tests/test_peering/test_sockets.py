"""Tests of ZeroMQ sockets on the event loop."""

from __future__ import annotations

import asyncio

import zmq

from jasminebeam.peering import sockets


async def test_failed_handler_does_not_block_later_messages():
    """An exception of the handler blocks no message that follows."""
    context = zmq.Context()
    sender, receiver = context.socket(zmq.PAIR), context.socket(zmq.PAIR)
    receiver.bind('inproc://pair')
    sender.connect('inproc://pair')
    received = []
    done = asyncio.Event()

    def handle(frames):
        received.append(frames[0])
        if len(received) == 3:
            done.set()
        if frames[0] == b'faulty':
            raise ValueError('unexpected')

    polled = sockets.PolledSocket(receiver, handle)
    for frame in (b'faulty', b'one', b'two'):
        sender.send(frame)
    await done.wait()
    assert received == [b'faulty', b'one', b'two']
    polled.close()
    sender.close(linger=0)
    context.term()


async def test_refused_connection_is_reported():
    """The monitor reports the refusal; the socket does not reconnect."""
    context = zmq.Context()
    lost = asyncio.Event()
    transport = sockets.ZmqTransport(context, '127.0.0.1', None)
    connection = transport.open('127.0.0.1:1', lambda frame: None, lost.set)
    await lost.wait()
    connection.close()
    context.term()
