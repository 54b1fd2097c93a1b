"""Plan of a call at the node that selects the upstream."""

from shallotwharf.components.call import (
    attempts,
    chooser,
    const,
    context,
    expectation,
    facts,
    index,
    places,
    prospects,
    rules,
    steps,
    targets,
)
from shallotwharf.core import call_interfaces, call_replies, calls, identifiers


class CallPlan(call_interfaces.Plan):
    """Matches the route, selects upstreams and decides on retries.

    The route and pool are those of the version that was current when the call
    began, even if a new version is applied meanwhile.
    """

    __slots__ = (
        '_context',
        '_facts',
        '_prospects',
        '_regions',
        '_pool',
        '_tried',
        '_target',
        '_version',
        '_sent_at',
        '_has_room',
        '_guarded',
    )

    def __init__(
        self, call_context: context.Context, request: calls.Request
    ) -> None:
        self._context = call_context
        self._facts = facts.Facts(call_context, request)
        self._prospects = prospects.Prospects(call_context, self._facts)
        self._regions = places.ANYWHERE
        self._pool: index.PoolEntry | None = None
        self._tried: set[str] = set()
        self._target: targets.Target | None = None
        self._version = ''
        self._sent_at = 0
        self._has_room = False
        self._guarded = False

    def start(self, now: int) -> calls.Step:
        """Match the route; select an upstream or ask the guard."""
        request = self._facts.request
        self._facts.attempts.began_at = now
        entry = self._context.find_route(
            request.method,
            request.path,
            request.host,
        )
        if entry is None:
            return self._facts.reject_unmatched()
        self._facts.entry = entry
        self._facts.identify(self._context.keyring.find(request.key_digest))
        self._regions = places.find_regions(entry.row, self._facts.tenant)
        self._facts.timing = self._context.timings.find(entry.row.name)
        self._facts.age_ms = self._facts.timing.record_deadline(
            request.deadline_ms, now
        )
        self._pool = entry.pick_pool(self._context.random)
        limit_ms = entry.row.timeout_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        self._facts.attempts.deadline_at = now + limit_ms
        self._facts.id = self._context.make_call_id()
        if not self._context.admits(self._facts.attempts.deadline_at, now):
            return self._facts.reject(const.REASON_STOPPING)
        refused = self._facts.refuse_access(now)
        if refused is not None:
            return refused
        if not request.retried:
            self._pool.budget.record_call()
        return self._facts.settle_quota(self._begin(entry, now), now)

    def handle_guard_reply(
        self, reply: call_replies.GuardReply, now: int
    ) -> calls.Step:
        """Send a granted call; otherwise respond as the guard replied."""
        return self._facts.settle_quota(self._follow_guard(reply, now), now)

    def resume(self, result: calls.Result, now: int) -> calls.Step:
        """Relay the response, retry or refuse."""
        return self._facts.settle_quota(self._follow(result, now), now)

    def cancel(self, now: int) -> bool:
        """Return whether to stop; a granted call goes on.

        The response of a once-only call must be stored.
        """
        if self._guarded:
            return False
        if self._target is not None:
            self._release(calls.Result(calls.OUTCOME_CANCELLED), now)
        return True

    def _follow_guard(
        self, reply: call_replies.GuardReply, now: int
    ) -> calls.Step:
        if isinstance(reply, call_replies.Granted):
            self._guarded = True
            self._facts.attempts.start_by = reply.expires_at
            return self._choose(now)
        if isinstance(reply, call_replies.Replayed):
            return calls.Replay(reply.status, reply.content_type, reply.body)
        if not isinstance(reply, call_replies.Denied):
            raise TypeError(f'{reply!r} is not a reply of the guard')
        self._facts.attempts.may_have_run = not reply.not_run
        return self._facts.reject(reply.reason)

    def _follow(self, result: calls.Result, now: int) -> calls.Step:
        target = self._release(result, now)
        entry = self._facts.read_entry()
        rule = rules.find_rule(result.outcome, entry.row.idempotent)
        self._observe(rule, result, now)
        ran_before = self._facts.attempts.may_have_run
        self._facts.attempts.arrivals += int(result.reached)
        if not rule.not_run:
            self._facts.attempts.may_have_run = True
        if result.reason in const.FULL_REASONS:
            self._facts.attempts.refusals += 1
        if not self._may_run_later(result):
            self._tried.add(target.announcement.node.name)
        if not rule.status:
            return self._handle_response(result, now, target)
        reason = result.reason or result.outcome
        if not rule.retry or reason in const.FINAL_REASONS:
            self._facts.report('call_ended', now, target, self._sent_at, reason)
            return self._facts.respond(rule.status, reason)
        # A request that may have run at two upstreams is not sent to a third,
        # which it might crash as well.
        if ran_before and not rule.not_run:
            denied = const.DENIED_RAN_TWICE
        else:
            denied = self._find_denial(result, now)
        if denied:
            self._context.count(f'{const.COUNTER_RETRY_DENIED}{denied}')
            self._facts.report(
                'call_not_retried',
                now,
                target,
                self._sent_at,
                f'{reason}/{denied}',
            )
            return self._facts.respond(rule.status, reason)
        self._context.count(f'{const.COUNTER_RETRIED}{reason}')
        self._facts.report('call_retried', now, target, self._sent_at, reason)
        return self._choose(now)

    def _begin(self, entry: index.RouteEntry, now: int) -> calls.Step:
        """Select an upstream, or ask the guard of once-only calls."""
        if not entry.row.once_only:
            return self._choose(now)
        if not identifiers.is_identifier(self._facts.request.key):
            return self._facts.respond(
                const.STATUS_BAD_REQUEST, const.REASON_KEY
            )
        return calls.Guard(self._facts.attempts.deadline_at)

    def _release(self, result: calls.Result, now: int) -> targets.Target:
        target = self._target
        if target is None:
            raise RuntimeError('no attempt is under way')
        self._target = None
        target.end(now - self._sent_at, now)
        self._facts.end_attempt()
        if result.spare >= 0:
            target.update_spare(result.spare, now)
        if result.condition is not None:
            target.speed.update(result.condition, now)
            self._context.note_condition(result.condition)
        if result.leaving:
            self._context.directory.exclude(target, result.leaving)
        if result.outcome != calls.OUTCOME_CANCELLED:
            target.failure_rate.record(rules.is_failure(result), now)
        if result.outcome in const.UNRESPONSIVE_OUTCOMES:
            target.mark_unreached(now)
            return target
        target.mark_reached()
        if result.outcome == calls.OUTCOME_REFUSED:
            target.mark_refused(result.reason, now)
        if result.reason == const.REASON_SLOW:
            target.speed.slow_until = target.avoid_until
        return target

    def _observe(
        self,
        rule: rules.Rule,
        result: calls.Result,
        now: int,
    ) -> None:
        entry = self._facts.read_entry()
        duration_ms = now - self._sent_at
        pool = self._read_pool()
        slow_ms = pool.row.slow_ms
        observed = rules.classify(rule, result, duration_ms, slow_ms)
        if observed:
            self._context.observer.observe(
                call_interfaces.Observation(
                    entry.row.name,
                    pool.row.name,
                    self._version,
                    observed,
                    duration_ms,
                ),
                now,
            )

    def _find_denial(self, result: calls.Result, now: int) -> str:
        """Return the reason to deny a retry; empty if it is allowed."""
        if self._facts.request.retried:
            return const.DENIED_DEEPER
        return self._facts.attempts.find_denial(
            self._read_pool(),
            self._facts.read_entry().row,
            result,
            now,
            self._find_room(result, now),
            self._prospects.count_free_refusals(result),
        )

    def _may_run_later(self, result: calls.Result) -> bool:
        """Return whether a target that refused may serve a later attempt.

        The first attempts are refused as too slow for the latency target, later
        ones only as too slow for the deadline.
        """
        is_first = self._facts.attempts.sent <= const.SLOW_TRIES
        return result.reason == const.REASON_SLOW and is_first

    def _find_room(self, result: calls.Result, now: int) -> attempts.Room:
        is_full = result.reason in const.FULL_REASONS
        if not is_full and result.reason != const.REASON_SLOW:
            return attempts.Room.KNOWN
        if self._may_run_later(result):
            return attempts.Room.KNOWN
        groups = self._find_groups(self._version)
        if not is_full:
            return chooser.find_room(groups, self._tried, now)
        return self._prospects.find_room(
            self._read_pool().row.service, groups, self._tried, now
        )

    def _find_groups(self, version: str) -> list[targets.Group]:
        """Return the groups of a version that the route may use."""
        call_context = self._context
        return call_context.sizes.filter_groups(
            self._facts.read_entry().row.name,
            chooser.find_groups(
                self._read_pool(),
                call_context.directory,
                version,
                self._regions,
            ),
        )

    def _choose(self, now: int) -> calls.Step:
        call_context = self._context
        call_context.refresh_local_spare(now)
        pool = self._read_pool()
        version = chooser.choose_version(
            pool, call_context.directory, call_context.random, self._regions
        )
        target = None
        if version is not None:
            groups = self._find_groups(version)
            if self._should_give_way(groups, now):
                return self._facts.reject(const.REASON_LATE)
            if not self._facts.attempts.sent and self._prospects.is_hopeless(
                pool.row.service, groups, self._tried, now
            ):
                return self._facts.reject(const.REASON_NO_ROOM)
            target = chooser.choose_target(
                groups,
                self._tried,
                call_context.random,
                now,
                expectation.Demand(
                    self._facts.timing.work_ms,
                    steps.find_aim(
                        self._facts.read_entry().row,
                        self._facts.attempts,
                        self._facts.age_ms,
                    ),
                ),
            )
        if version is None or target is None:
            return self._facts.reject(
                places.find_shortage_reason(self._regions)
            )
        self._version = target.announcement.version
        return self._send(target, now)

    def _should_give_way(self, groups: list[targets.Group], now: int) -> bool:
        """Return whether to leave scarce room to calls that can be in time.

        Only calls of the least urgent routes of a pool do so: the room would
        go to less urgent ones otherwise.
        """
        row = self._facts.read_entry().row
        if self._facts.attempts.sent or row.rank < self._read_pool().last_rank:
            return False
        if not self._facts.is_late():
            return False
        room = chooser.find_room(groups, self._tried, now)
        return room is not attempts.Room.KNOWN

    def _send(self, target: targets.Target, now: int) -> calls.Step:
        margin_ms = const.HOP_MARGIN_MS + target.latency_ms
        needed_ms = margin_ms + self._prospects.find_needed_ms(target, now)
        if self._facts.attempts.is_too_late(needed_ms, now):
            return self._facts.reject_late()
        self._has_room = target.estimate_spare(now) > 0
        if target.latency_ms:
            self._context.count(const.COUNTER_SPILLED)
        self._facts.attempts.sent += 1
        self._sent_at = now
        self._target = target
        target.begin(now)
        self._facts.begin_attempt()
        attempt = f'{self._facts.id}.{self._facts.attempts.sent}'
        traits = steps.build_traits(
            self._facts.compute_rank(),
            self._facts.tenant,
            self._facts.read_entry().row,
            self._facts.attempts,
            self._facts.age_ms,
            int(self._facts.timing.work_ms),
        )
        if target.announcement.node.name == self._context.local_node:
            return steps.build_enter(
                attempt,
                traits,
                target,
                self._facts.attempts,
                self._facts.is_retry(),
            )
        return steps.build_forward(
            attempt,
            traits,
            target,
            self._facts.attempts,
            self._facts.is_retry(),
            now,
        )

    def _handle_response(
        self,
        result: calls.Result,
        now: int,
        target: targets.Target,
    ) -> calls.Step:
        """Relay a response, or retry after a server error."""
        row = self._facts.read_entry().row
        self._context.sizes.record(row.name, result.size)
        duration_ms = now - self._sent_at
        self._facts.timing.record_run(duration_ms)
        run_ms = duration_ms - 2 * target.latency_ms
        relative = expectation.compute_relative_speed(
            target,
            self._context.directory.find_any(
                target.announcement.service, frozenset()
            ),
            now,
        )
        self._facts.timing.record_work(run_ms / relative, self._has_room, now)
        self._facts.report_response(result, now, target, self._sent_at)
        limits = self._read_pool().budget.limits
        fails = result.status >= const.STATUS_SERVER_ERROR
        if not (fails and row.idempotent and limits.repeats_errors):
            return calls.Relay()
        # Assumes that another run takes about as long as this one.
        in_time = now - self._sent_at < self._facts.attempts.deadline_at - now
        if not in_time or self._find_denial(result, now):
            return calls.Relay()
        self._context.count(f'{const.COUNTER_RETRIED}status_{result.status}')
        return self._choose(now)

    def _read_pool(self) -> index.PoolEntry:
        if self._pool is None:
            raise RuntimeError('the call has no pool')
        return self._pool
