"""One gateway: its parts put together, its start, and its end."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
from collections.abc import Coroutine
from typing import Any

from ..decisions.messages import RequestAbandoned, Started
from .backends.attempts import Attempts
from .backends.pool import ConnectionPool
from .clients.listener import ClientListener
from .config import Config, ConfigError
from .counters import Counters
from .deadlines import every
from .dispatcher import Dispatcher
from .endpoint_table import EndpointReader, EndpointTable
from .endpoint_table import number as name_number
from .host import HOST, Host
from .log import Log
from .peers import Peers
from .policy_assembly import build_policy
from .session import FAILED
from .trace import Step
from .transient import is_momentary, patiently

RELOAD_AGAIN_NS, RELOAD_TRIES = 100_000_000, 30  # where the file can't be read for now


class Gateway:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, host: Host = HOST) -> None:
        self.config, self.loop, self.host = config, loop, host
        self.log, self.counters = Log(config.name, host=host), Counters()
        self.dispatcher = Dispatcher(
            loop, build_policy(config, host), config.limits, self.counters, self.log, host
        )
        buffer = memoryview(bytearray(config.limits.read_bytes))  # each read is taken out of it at once
        self.listener = ClientListener(self.dispatcher, config.settings, buffer, host)
        self.pool = ConnectionPool(self.dispatcher)
        self.attempts = Attempts(self.dispatcher, config.settings, self.pool, buffer)
        self.peers = Peers(self.dispatcher, config.peers)
        self.table = EndpointTable(
            self.dispatcher,
            EndpointReader(config.zones, config.kinds, host),
            config.discovery,
            self.pool.update,
            self._ready,
            random.Random(config.seed),
        )
        self.keeper = self._keep(buffer) if config.keeper else None
        if config.shared:
            self._share_state()
        self.starter = self._start_beside() if config.start else None
        if config.place:
            self._choose_zones()
        self.operator, self.control, self.handover, self.state_files = None, None, None, None
        if config.control:
            self._operate()
        self.ended = loop.create_future()
        self._stopping = False
        self._stop_ns = 0

    def _keep(self, buffer: memoryview) -> Any:
        """The count keeper's client, and the words between gateways that belong to it."""
        from ..quota_service import module, words
        from .keeper import Keeper

        keeper, dispatcher = Keeper(self.dispatcher, self.config.counter, buffer), self.dispatcher

        def call(_: int, action: module.KeeperCall) -> None:
            keeper.call(
                action.name,
                action.amount,
                action.ttl_ms,
                lambda at, total: dispatcher.post(module.KeeperAnswer(action.number, total)),
            )

        def heard(sender: int, data: bytes) -> module.KeeperWord | None:
            word = words.unpack(sender, data)
            return None if word is None else module.KeeperWord(word)

        dispatcher.carry_out[module.KeeperCall] = call
        dispatcher.carry_out[module.KeeperTell] = lambda _, action: self.peers.send(
            action.peer, words.pack(action.word)
        )
        self.peers.others[words.MAGIC] = heard
        return keeper

    def _share_state(self) -> None:
        """The words between gateways by which state is shared within stated bounds."""
        from ..leases import codec, module

        def heard(sender: int, data: bytes) -> module.SharedWords | None:
            found = codec.unpack(data)
            return None if found is None else module.SharedWords(sender, *found)

        def tell(_: int, action: module.SharedTell) -> None:
            for data in codec.pack(action.process, action.words):
                self.peers.send(action.peer, data)

        self.dispatcher.carry_out[module.SharedTell] = tell
        self.peers.others[codec.MAGIC] = heard

    def _start_beside(self) -> Any:
        """The start beside other gateways: a list from those that have one, and when this one is ready."""
        from .start import Starter

        config = self.config
        return Starter(
            self.dispatcher,
            self.peers,
            self.table,
            config.start,
            config.settings.me,
            config.settings.gateways,
            config.settings.peer_in_per_s,
            config.seed,
            self._ready,
        )

    def _choose_zones(self) -> None:
        """The words between gateways by which zones are chosen in common."""
        from ..zone_failover import codec, module

        def heard(sender: int, data: bytes) -> module.PlaceWord | None:
            found = codec.unpack(data)
            return None if found is None else module.PlaceWord(sender, found)

        self.dispatcher.carry_out[module.PlaceTell] = lambda _, action: self.peers.send(
            action.peer, codec.pack(action.word)
        )
        self.peers.others[codec.MAGIC] = heard

    def _operate(self) -> None:
        """The operators' HTTP endpoint, what they asked for, and the files by which another process of this
        gateway takes it over."""
        from ..admin.operator_state import OperatorState
        from .admin_endpoint import AdminEndpoint
        from .handover_file import HandoverFile
        from .state_files import StateFiles

        self.operator = OperatorState(listed=self.table)
        if self.config.place:
            self.operator.zones = self.config.zones
            self.operator.describe_zones = lambda: self.dispatcher.policy.shown(self.dispatcher.now_ns())
        base_path = os.path.join(self.host.tmpdir(), f"zincstile-{self.config.name}")
        process = f"{self.config.seed:x}"
        self.handover = HandoverFile(
            self.dispatcher,
            self.operator,
            self.host,
            path=f"{base_path}.handover",
            gateway=self.config.name,
            process=process,
            on_maintenance=self._adopt,
            returned_at_ns=self.table.back,
            discovery_offset_ns=lambda: self.table.reader.apart_ns,
        )
        self.control = AdminEndpoint(
            self.dispatcher,
            self.operator,
            self.handover,
            self.host,
            apply=self._apply,
            is_ready=lambda: self.listener.ready and not self._stopping,
        )
        self.state_files = StateFiles(
            self.dispatcher, self.host, base_path=base_path, process=process, set_limits_shared=self._share
        )

    def _poll_files(self) -> None:
        self.handover.poll()
        self.state_files.poll()

    def _apply(self, reply: Any) -> None:
        from ..admin.operator_state import OperatorChange as Change

        if reply.change is Change.STANDBY:
            self.log.line("standby: PING says no; connections are closed once nothing is owed on them")
            self.listener.set_standby(True)
        elif reply.change is Change.ACTIVE:
            self.log.line("active: taking clients again")
            self.listener.set_standby(False)
        elif reply.change in (Change.ZONE_DRAIN, Change.ZONE_HOLD, Change.ZONE_RELEASE):
            from ..zone_failover.module import ZoneSaid

            self.dispatcher.post(
                ZoneSaid(
                    self.config.zones.index(reply.name),
                    reply.change is Change.ZONE_DRAIN,
                    reply.change is Change.ZONE_HOLD,
                )
            )
            self.log.line(f"zone {reply.text}")
        elif reply.change in (Change.MAINTENANCE_ENTER, Change.MAINTENANCE_EXIT):
            entered = reply.change is Change.MAINTENANCE_ENTER
            self.table.maintain(reply.name, entered)
            self.log.line(f"maintenance {'enter' if entered else 'exit'} {reply.name}")
            self.handover.save()
        self.dispatcher.wake()

    def _adopt(self, change: Any) -> None:
        """What another process of this gateway was asked for."""
        for name in change.entered:
            self.table.maintain(name, True)
        for name in change.exited:
            self.table.maintain(name, False)
        entered, exited = sorted(change.entered), sorted(change.exited)
        self.log.line(f"handover: maintenance enter {entered} exit {exited} by another process")

    def _share(self, shared: bool) -> None:
        """Another process of this gateway serves beside this one, or no more: both have one's descriptors."""
        limits = self.config.limits
        self.dispatcher.limits = limits.shared() if shared else limits
        self.listener.fit()

    def _state_bounds(self) -> None:
        """The error by which quotas are held, stated before anything fails."""
        from ..decisions.quota_bounds import of_plan
        from ..leases import bound as by_loans
        from ..quota_service import bound as by_keeper

        config, settings = self.config, self.config.settings
        for plan in settings.plans:
            if plan.rate:
                quota = of_plan(plan, settings.gateways, settings.largest_units)
                found = (
                    by_loans.bounds(quota, config.shared)
                    if config.shared
                    else by_keeper.bounds(quota, config.keeper)
                )
                held_by = config.shared or config.keeper
                worst = max((b for b in found if b.failure in held_by.endured), key=lambda b: b.units)
                self.log.line(
                    f"bound plan {plan.name}: {worst.units:.2f} units at most beyond a quota, "
                    f"{100 * worst.share:.1f}% of a minute, by {worst.failure}"
                )
        if config.shared:
            self.log.line(
                f"bound budget: {config.shared.most_out:g} units out for each ready server by all "
                f"gateways, times {by_loans.MOST_FACTOR:g} at most where parts of silent ones are "
                "taken over"
            )

    def _caught(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What escaped a connection's callback: asyncio closes that connection, the process goes on."""
        self.counters.faults += 1
        err = context.get("exception")
        self.log.often("fault", f"{type(err).__name__}: {err} in {context.get('message')}")

    async def run(self, early: list[int] | None = None) -> None:
        """early: where signals are kept that came before they are heard here."""
        self.loop.set_exception_handler(self._caught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGUSR1, self._count)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in (early or ()):
            self.loop.call_soon(self.reload)
        if self.handover is not None:
            await self._unless_stopped(self._take_over())
        if self.config.peer_listen:
            await patiently(lambda: self.peers.open(self.config.peer_listen))
        if not self._stopping:  # else nobody was taken yet, and nobody is
            await self._serve()
        await self.ended
        self._count()
        self.log.line("end")

    async def _serve(self) -> None:
        """Takes clients from here on."""
        self.dispatcher.post(Started())
        known = self._begin_table()
        await patiently(lambda: self.listener.listen(self.config.listen, self.config.socket_fd))
        if self.control is not None:
            await patiently(lambda: self.control.open(self.config.control))
            every(self.dispatcher, self.config.limits.handover_poll_ns, self._poll_files)
        if self.starter is None and known:
            # discovery may be down: then the known list must do
            self.dispatcher.deadlines.add(
                self.dispatcher.now_ns() + self.config.limits.table_first_ns, self._ready
            )
        self.dispatcher.wake()
        if self.config.keeper or self.config.shared:
            self._state_bounds()
        inherited = " (inherited)" if self.listener.inherited else ""
        operators = f", operators on {self.control.address}" if self.control else ""
        self.log.line(
            f"start listening on {self.listener.address}{inherited}, peers on {self.peers.address}{operators}"
        )

    async def _unless_stopped(self, work: Coroutine[Any, Any, None]) -> None:
        """A part of the start; it is left where it stands when the process is told to end."""
        task = self.loop.create_task(work)
        await asyncio.wait((task, self.ended), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()  # its error is the start's
        else:
            task.cancel()

    async def _take_over(self) -> None:
        """What an older process of this gateway has left, before anything of this one is seen outside."""
        self.log.line(f"handover: {await self.handover.load()}")
        for name in self.operator.under_maintenance:
            self.table.banned[name_number(name)] = self.dispatcher.now_ns()
        found = self.handover.found
        if found is None:
            return
        age_ns = self.host.timestamp().elapsed_since_ns(found.written)
        self.table.put_back({name: at + age_ns for name, at in found.returned_age_ns.items()})
        if found.discovery_offset_ns is not None:
            self.table.reader.clock.offer(found.discovery_offset_ns)
        self.log.line(
            f"memory: {await self.state_files.inherit()}"
        )  # till then peers are heard by the old process

    def _begin_table(self) -> bool:
        """With the list that the start was given; False where there is none. It is not kept as JSON, which
        takes more memory than all that is made of it."""
        known, self.config.known = self.config.known, {}
        (self.table if self.starter is None else self.starter).begin(known)
        return bool(known.get("endpoints"))

    def _ready(self, _: object = None) -> None:
        if not self.listener.ready and self._may_be_ready():
            self.dispatcher.trace.note(self.dispatcher.now_ns(), Step.STATE, "ready")
            self.listener.take()
            if self.handover is not None:
                self.handover.announce_ready()
            by = "told" if self.table.told else "as known before"
            if self.starter is not None:
                by = self.starter.readiness.right.value
            self.log.line(f"ready with {len(self.pool.listed)} backend servers, {by}")

    def _may_be_ready(self) -> bool:
        """A list is here: discovery's, peers', or the one known before."""
        return self.dispatcher.guard.may_be_ready(
            self.dispatcher.now_ns(), len(self.pool.listed), self.table.told or self.starter is not None
        )

    def _count(self) -> None:
        self.log.line(self.counters.line(self.host))
        self.log.line("state " + json.dumps(self.dispatcher.policy.sight()))

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """SIGHUP: where discovery is found is read again, all else stays as it is. Sessions, connections and
        all that is remembered go on. Guards also against a file that is broken or half written; one that the
        machine can't open for now is tried again, as the signal comes once."""
        try:
            config = self.host.again()
        except (ConfigError, OSError) as err:
            if is_momentary(err.__cause__ or err) and tries > 1:
                at_ns = self.dispatcher.now_ns() + RELOAD_AGAIN_NS
                self.dispatcher.deadlines.add(at_ns, self.reload, tries - 1)
                self.dispatcher.wake()
                return
            self.log.line(f"reload refused: {' '.join(str(err).split())}; the old configuration stands")
            return
        self.counters.reloads += 1
        self.config.discovery = config.discovery
        self.table.move(config.discovery)
        if self.keeper is not None and config.counter:
            self.keeper.move(config.counter)
        self.log.line("reload discovery at {}:{}".format(*config.discovery))

    def stop(self) -> None:
        """Serves on while clients come, as long as what they ask can still be answered; then answers what is
        left, and ends. Guards against a front that goes on sending to a gateway until it finds it dead."""
        if self._stopping:
            return
        self._stopping = True
        self.dispatcher.trace.note(self.dispatcher.now_ns(), Step.STATE, "stop")
        self.log.line(f"stop with {len(self.dispatcher.sessions)} sessions")
        if not self.listener.opened:
            self._end(None)
            return
        now, limits = self.dispatcher.now_ns(), self.config.limits
        self._stop_ns = self.listener.heard_ns = now
        if self.listener.inherited and self.handover is not None and self.handover.successor_ready:
            self._taken_over()
        else:
            if (
                self.listener.inherited and self.handover is not None
            ):  # a new one may yet say that it is ready
                self.handover.on_successor_ready = self._taken_over
            self._shut_if_quiet(None)
        self.dispatcher.deadlines.add(now + limits.drain_most_ns - limits.drain_margin_ns, self._fail_rest)
        self.dispatcher.deadlines.add(now + limits.drain_most_ns, self._end)
        self.dispatcher.wake()

    def _taken_over(self) -> None:
        """The listening socket is shared with a new process that takes clients: it takes what comes from now
        on, and what is in the queue is left to it. Each connection is closed once nothing is owed on it.
        Guards against a gap where SIGTERM comes before the new one is ready."""
        if self.handover is not None:
            self.handover.on_successor_ready = None
        if self.listener.closing:
            return
        self.listener.shut(take_queued=False)
        self.peers.close()  # else what peers send to the address goes to one of both processes, by chance
        self._end_if_empty(None)

    def _shut_if_quiet(self, _: object) -> None:
        limits = self.config.limits
        at = min(self._stop_ns + limits.drain_ns, self.listener.heard_ns + limits.drain_quiet_ns)
        if self.listener.closing:
            return  # taken over meanwhile
        if self.dispatcher.now_ns() < at:
            self.dispatcher.deadlines.add(at, self._shut_if_quiet)
        else:
            self.listener.shut()
            self._end_if_empty(None)

    def _fail_rest(self, _: object) -> None:
        """Guards against ending with a request unanswered, however long its client would wait; and against
        taking one that could not be answered before the end."""
        self.listener.over = True
        for session in list(self.dispatcher.sessions.values()):
            if self.dispatcher.end(session, FAILED):
                self.dispatcher.post(RequestAbandoned(session.id))

    def _end_if_empty(self, _: object) -> None:
        self.listener.close_idle()  # also those that came last and ask nothing
        if self.listener.empty:
            self._end(None)
        else:
            self.dispatcher.deadlines.add(
                self.dispatcher.now_ns() + self.config.limits.backoff_ns, self._end_if_empty
            )

    def _end(self, _: object) -> None:
        if not self.ended.done():
            self.dispatcher.guard.may_end(self.dispatcher.now_ns(), len(self.dispatcher.sessions))
            if self.state_files is not None:
                self.state_files.leave_totals()
            self.ended.set_result(None)
