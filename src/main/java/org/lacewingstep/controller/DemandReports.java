package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.CallSection.Passage;
import org.lacewingstep.blackboard.CallSection.Reserve;
import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.ServiceUrgency;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.placement.ServiceDemand;
import org.lacewingstep.placement.UrgentReserve;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Sums the calls that ask for memory, at this instance for its reports and at all instances for decisions. */
final class DemandReports {
    private DemandReports() {}

    /**
     * Returns whether kinds of calls of a service differ in urgency and compete for memory of its upstreams. Memory is
     * not kept free for teams alone, since the calls of one kind then only become late in turn.
     *
     * @param board the blackboard, not null
     * @param service the service, not null
     * @return true if demand for the service is counted
     */
    static boolean isCounted(final Blackboard board, final ServiceName service) {
        return board.serving().routing().table().hasRankedRoutes(service) && memoryTokens(board, service) > 0;
    }

    /**
     * Returns the memory of one engine of a service.
     *
     * @param board the blackboard, not null
     * @param service the service, not null
     * @return the memory in tokens, zero if upstreams of the service keep no tokens
     */
    static long memoryTokens(final Blackboard board, final ServiceName service) {
        final var limits = board.serving().routing().table().services().get(service);
        return limits == null ? 0 : limits.memoryTokens();
    }

    /**
     * Records the arrival of a call.
     *
     * @param board the blackboard, not null
     * @param section the section to which the call was added, not null
     * @param call the call, not null
     * @param now the present time, not null
     * @return the updated section, never null
     */
    static CallSection withArrival(
            final Blackboard board, final CallSection section, final Call call, final Instant now) {
        return isCounted(board, call.service())
                ? section.withPassage(new Passage(now, key(call), new Demand(0, 0, call.tokens(), 0)))
                : section;
    }

    /**
     * Records that memory was returned.
     *
     * @param board the blackboard, not null
     * @param section the section, not null
     * @param service the service, not null
     * @param tokens the memory, in tokens
     * @param now the present time, not null
     * @return the updated section, never null
     */
    static CallSection withRelease(
            final Blackboard board,
            final CallSection section,
            final ServiceName service,
            final long tokens,
            final Instant now) {
        return isCounted(board, service)
                ? section.withPassage(
                        new Passage(now, new ServiceUrgency(service, Urgency.DEFAULT), new Demand(0, 0, 0, tokens)))
                : section;
    }

    /**
     * Sums the demand at this instance.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the demand by service and urgency, empty if calls of no service differ in urgency, never null
     */
    static Map<ServiceUrgency, Demand> own(final Blackboard board, final Instant now) {
        final Map<ServiceUrgency, Demand> sums = new HashMap<>();
        if (board.serving().routing().table().ranked().isEmpty()) {
            return sums;
        }
        final CallSection section = board.serving().calls();
        final Instant oldest = now.minus(CallSection.PASSAGE_PERIOD);
        for (final Passage passage : section.passages()) {
            if (!passage.at().isBefore(oldest) && !passage.at().isAfter(now)) {
                sums.merge(passage.urgency(), passage.demand(), Demand::plus);
            }
        }
        for (final Call call : section.calls().values()) {
            if (call.phase() instanceof CallPhase.Queued && isCounted(board, call.service())) {
                sums.merge(key(call), new Demand(1, call.tokens(), 0, 0), Demand::plus);
            }
        }
        return sums;
    }

    /**
     * Sums the demand for a service at this and all other instances that report.
     *
     * @param board the blackboard, not null
     * @param service the service, not null
     * @param now the present time, not null
     * @return the demand, never null
     */
    static ServiceDemand site(final Blackboard board, final ServiceName service, final Instant now) {
        return site(own(board, now), board.serving().calls(), service);
    }

    private static ServiceDemand site(
            final Map<ServiceUrgency, Demand> own, final CallSection section, final ServiceName service) {
        final Map<Urgency, Demand> sums = new HashMap<>();
        add(sums, own, service);
        add(sums, section.demand().totals(), service);
        return new ServiceDemand(sums, CallSection.PASSAGE_PERIOD);
    }

    /**
     * Computes the memory that calls of each urgency leave free.
     *
     * @param board the blackboard, not null
     * @param section the section with the latest demand, not null
     * @param now the present time, not null
     * @return the reserves by service and urgency, never null
     */
    static PMap<ServiceUrgency, Reserve> reserves(
            final Blackboard board, final CallSection section, final Instant now) {
        PMap<ServiceUrgency, Reserve> reserves = HashTreePMap.empty();
        final Map<ServiceUrgency, Demand> own = own(board, now);
        for (final ServiceName service :
                board.serving().routing().table().ranked().keySet()) {
            final long memory = memoryTokens(board, service);
            if (memory == 0) {
                continue;
            }
            final ServiceDemand demand = site(own, section, service);
            final long siteMemory = memory * engines(board, service);
            for (int rank = 0; rank <= Urgency.LAST_RANK; rank++) {
                final Urgency urgency = new Urgency(rank);
                reserves = reserves.plus(
                        new ServiceUrgency(service, urgency),
                        new Reserve(
                                reserve(board, demand, urgency, true, memory, siteMemory),
                                reserve(board, demand, urgency, false, memory, siteMemory)));
            }
        }
        return reserves;
    }

    private static double reserve(
            final Blackboard board,
            final ServiceDemand demand,
            final Urgency urgency,
            final boolean onTime,
            final long memory,
            final long siteMemory) {
        return UrgentReserve.fraction(
                demand, urgency, onTime, memory / UpstreamRoom.TYPICAL_CALL_DIVISOR, reportDelay(board), siteMemory);
    }

    private static long engines(final Blackboard board, final ServiceName service) {
        return board.serving().registry().upstreams().values().stream()
                .filter(entry -> entry.upstream().role() == UpstreamRole.DECODE
                        && entry.upstream().service().equals(service)
                        && !entry.upstream().draining())
                .count();
    }

    /**
     * Returns the age of what other instances have reported.
     *
     * @param board the blackboard, not null
     * @return the longest time from a change to the arrival of its report, never null
     */
    private static Duration reportDelay(final Blackboard board) {
        final Duration delay = board.serving().site().broadcastDelay();
        return board.serving().site().isRelayed() ? delay.multipliedBy(2) : delay;
    }

    private static void add(
            final Map<Urgency, Demand> sums, final Map<ServiceUrgency, Demand> added, final ServiceName service) {
        added.forEach((key, demand) -> {
            if (key.service().equals(service)) {
                sums.merge(key.urgency(), demand, Demand::plus);
            }
        });
    }

    private static ServiceUrgency key(final Call call) {
        return new ServiceUrgency(call.service(), call.urgency());
    }
}
