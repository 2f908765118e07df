"""Virtual-time simulation of nodes that share the limits of teams."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random

from jasminebeam.model import teams
from jasminebeam.model import upstreams
from jasminebeam.peering import codec
from jasminebeam.quotas import coordinators
from jasminebeam.quotas import fleet_size
from jasminebeam.quotas import limit
from jasminebeam.quotas import limiter
from jasminebeam.quotas import team_state

DOMAINS = 3
# Mean of 30 ms with the variation of `Fleet`.
REGION_LATENCY_MS = 27.0


def member(name, incarnation=1, status=upstreams.Status.ALIVE):
    """Return the record of a node."""
    domain = f'd{int(name[1:]) % DOMAINS}'
    return upstreams.Member(
        name, name, domain, 'r', incarnation, 1, status=status
    )


class Fleet:
    """Nodes, a network between them, and the requests that were admitted."""

    def __init__(self, size, team, seed=1, latency_ms=3.5, loss=0.0):
        self.now_ms = 0.0
        self.generator = random.Random(seed)
        self.latency_ms = latency_ms
        self.loss = loss
        self.duplicates = 0.0
        self.regions = 1
        self.teams = [team] if isinstance(team, teams.Team) else list(team)
        self.names = [f'n{number}' for number in range(size)]
        self.nodes = {}
        self.paused_until = {}
        self.groups = {}
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waits_ms = []
        self.sent = collections.Counter()
        self.sent_bytes = collections.Counter()
        self._tickets = {}
        self._timers = {}
        self._events = []
        self._order = itertools.count()
        for name in self.names:
            self.start(name)
        for name in self.names:
            self.join(name)
        self.now_ms = 0.0

    def start(self, name):
        """Start the process of a node; it knows no other."""
        size = fleet_size.FleetSize(name, self.now_ms)
        number = self.generator.getrandbits(31)
        node = limiter.TeamLimiter(name, size, number)
        node.has_peers = True
        node.configure(self.teams, self.now_ms)
        self.nodes[name] = node

    def join(self, name):
        """Let a node and all others in its group know each other."""
        for other in list(self.nodes):
            if self._can_reach(name, other):
                self.observe(name, member(other))
                self.observe(other, member(name))

    def observe(self, name, record):
        """Report a record of a member to a node."""
        if name in self.nodes:
            self.nodes[name].observe(record, self.now_ms)

    def kill(self, name, detected=True):
        """End a process; the others declare it dead if it is detected."""
        self.nodes.pop(name, None)
        if detected:
            for other in self.nodes:
                dead = member(name, status=upstreams.Status.DEAD)
                self.observe(other, dead)

    def split(self, ratio=0.5):
        """Partition the fleet; each side suspects the other."""
        border = int(len(self.names) * ratio)
        self.groups = {
            name: int(number < border)
            for number, name in enumerate(self.names)
        }
        for one, other in itertools.permutations(list(self.nodes), 2):
            if not self._can_reach(one, other):
                suspect = member(other, status=upstreams.Status.SUSPECT)
                self.observe(one, suspect)

    def heal(self):
        """End the partition."""
        self.groups = {}
        for name in list(self.nodes):
            self.join(name)

    def configure(self, team):
        """Put another limit in force on all nodes."""
        self.teams = [team]
        for node in self.nodes.values():
            node.configure(self.teams, self.now_ms)

    def coordinator(self, team='t'):
        """Return the coordinator of a team."""
        return coordinators.candidates(team, self.names)[0]

    def at(self, time_ms, action, *arguments):
        """Schedule an action."""
        heapq.heappush(
            self._events, (time_ms, next(self._order), action, arguments)
        )

    def request(self, name, team='t'):
        """Send a request of a team to a node."""
        node = self.nodes.get(name)
        if node is None:
            return
        if self._is_paused(name):
            self.at(self.paused_until[name], self.request, name, team)
            return
        decision = node.take(team, self.now_ms)
        if isinstance(decision, int):
            self._tickets[name, decision] = (team, self.now_ms)
        else:
            self._record(team, decision, self.now_ms)
        self._flush(name)

    def demand(self, per_s, seconds, choose, team='t', poisson=True):
        """Schedule requests; `choose` names the node for a time in ms."""
        time_ms = self.now_ms
        end_ms = time_ms + seconds * 1_000
        while True:
            gap_ms = 1_000 / per_s
            if poisson:
                gap_ms *= self.generator.expovariate(1.0)
            time_ms += gap_ms
            if time_ms >= end_ms:
                return
            self.at(time_ms, self.request, choose(time_ms), team)

    def run(self, seconds):
        """Process all events of a time."""
        end_ms = self.now_ms + seconds * 1_000
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, time_ms)
            action(*arguments)
        self.now_ms = end_ms

    def most_in_window(self, team='t'):
        """Return the largest number of admitted requests in any 5 s."""
        times = sorted(self.admitted[team])
        most = first = 0
        for last, time_ms in enumerate(times):
            while time_ms - times[first] > limit.WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_ratio(self, since_ms=0.0, team='t'):
        """Return the share of refused requests since a time."""
        refused = sum(t >= since_ms for t in self.refused[team])
        admitted = sum(t >= since_ms for t in self.admitted[team])
        return refused / max(1, refused + admitted)

    def _flush(self, name):
        node = self.nodes.get(name)
        if node is None:
            return
        if self._is_paused(name):
            self.at(self.paused_until[name], self._flush, name)
            return
        for outgoing in node.flush(self.now_ms):
            self._send(name, outgoing)
        decisions, node.decisions = node.decisions, []
        for decided in decisions:
            team, since_ms = self._tickets.pop((name, decided.ticket))
            self.waits_ms.append(self.now_ms - since_ms)
            self._record(team, decided.decision, self.now_ms)
        next_ms = max(node.next_ms(self.now_ms), self.now_ms + 1)
        timer_ms = self._timers.get(name, 0.0)
        if next_ms < math.inf and not self.now_ms < timer_ms <= next_ms:
            self._timers[name] = next_ms
            self.at(next_ms, self._flush, name)

    def _send(self, sender, outgoing):
        frame = codec.encode(outgoing.message)
        self.sent[type(outgoing.message).__name__] += 1
        self.sent_bytes[sender] += len(frame)
        for _ in range(1 + (self.generator.random() < self.duplicates)):
            if self.generator.random() >= self.loss:
                delay_ms = self._latency_ms(sender, outgoing.node_id)
                delay_ms *= self.generator.uniform(0.8, 1.5)
                self.at(
                    self.now_ms + delay_ms,
                    self._deliver,
                    sender,
                    outgoing.node_id,
                    frame,
                )

    def _latency_ms(self, sender, receiver):
        if int(sender[1:]) % self.regions == int(receiver[1:]) % self.regions:
            return self.latency_ms
        return REGION_LATENCY_MS

    def _deliver(self, sender, receiver, frame):
        if receiver not in self.nodes or not self._can_reach(sender, receiver):
            return
        if self._is_paused(receiver):
            until_ms = self.paused_until[receiver]
            self.at(until_ms, self._deliver, sender, receiver, frame)
            return
        message = codec.decode(frame).unwrap()
        self.nodes[receiver].receive(message, self.now_ms)
        self._flush(receiver)

    def _record(self, team, decision, time_ms):
        admitted = isinstance(decision, team_state.Admitted)
        (self.admitted if admitted else self.refused)[team].append(time_ms)

    def _is_paused(self, name):
        return self.paused_until.get(name, 0.0) > self.now_ms

    def _can_reach(self, one, other):
        return self.groups.get(one) == self.groups.get(other)
