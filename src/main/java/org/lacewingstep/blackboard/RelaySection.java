package org.lacewingstep.blackboard;

import java.time.Instant;

import org.lacewingstep.blackboard.PeerMessage.SiteLoad;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.StoreRevision;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What this instance passes on between the platform's store and the other instances of its failure domain.
 *
 * @param history recent changes of the store, oldest first, not null
 * @param historyStart the store's revision after which the history is complete
 * @param queries the queries of other instances that wait for the next confirmation of the routing table, not null
 * @param lastQueryAt when another instance last sent a query to this one, not null
 * @param query the last query that this instance sent to its relay, not null
 * @param answeredAt when a relay last answered a query of this instance, not null
 * @param domainReports load reports of this failure domain that were not passed on yet, not null
 * @param foreignReports load reports of other failure domains that were not passed on yet, not null
 * @param remoteRelays the relay that last reported from each other failure domain, not null
 * @param passingOnSoon whether the reports are passed on earlier than usual
 */
public record RelaySection(
        PVector<HistoryEntry> history,
        StoreRevision historyStart,
        PMap<InstanceName, PendingQuery> queries,
        Instant lastQueryAt,
        SentQuery query,
        Instant answeredAt,
        PMap<Incarnation, SiteLoad> domainReports,
        PMap<Incarnation, SiteLoad> foreignReports,
        PMap<FailureDomainName, InstanceName> remoteRelays,
        boolean passingOnSoon)
        implements ServingSection {
    /** The initial section of a process. */
    public static final RelaySection INITIAL = new RelaySection(
            TreePVector.empty(),
            StoreRevision.NONE,
            HashTreePMap.empty(),
            Instant.EPOCH,
            SentQuery.NONE,
            Instant.EPOCH,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            false);

    /**
     * Copies this section with another history.
     *
     * @param next recent changes of the store, oldest first, not null
     * @param start the store's revision after which the history is complete
     * @return the copy, never null
     */
    public RelaySection withHistory(final PVector<HistoryEntry> next, final StoreRevision start) {
        return new RelaySection(
                next,
                start,
                queries,
                lastQueryAt,
                query,
                answeredAt,
                domainReports,
                foreignReports,
                remoteRelays,
                passingOnSoon);
    }

    /**
     * Copies this section with other queries of other instances.
     *
     * @param next the queries that wait for a confirmation, not null
     * @param receivedAt when the last of the queries arrived, not null
     * @return the copy, never null
     */
    public RelaySection withQueries(final PMap<InstanceName, PendingQuery> next, final Instant receivedAt) {
        return new RelaySection(
                history,
                historyStart,
                next,
                receivedAt,
                query,
                answeredAt,
                domainReports,
                foreignReports,
                remoteRelays,
                passingOnSoon);
    }

    /**
     * Copies this section with another query of this instance.
     *
     * @param next the last query that this instance sent, not null
     * @param nextAnsweredAt when a relay last answered a query, not null
     * @return the copy, never null
     */
    public RelaySection withQuery(final SentQuery next, final Instant nextAnsweredAt) {
        return new RelaySection(
                history,
                historyStart,
                queries,
                lastQueryAt,
                next,
                nextAnsweredAt,
                domainReports,
                foreignReports,
                remoteRelays,
                passingOnSoon);
    }

    /**
     * Copies this section with other load reports to pass on.
     *
     * @param nextDomainReports reports of this failure domain, not null
     * @param nextForeignReports reports of other failure domains, not null
     * @return the copy, never null
     */
    public RelaySection withReports(
            final PMap<Incarnation, SiteLoad> nextDomainReports, final PMap<Incarnation, SiteLoad> nextForeignReports) {
        return new RelaySection(
                history,
                historyStart,
                queries,
                lastQueryAt,
                query,
                answeredAt,
                nextDomainReports,
                nextForeignReports,
                remoteRelays,
                passingOnSoon);
    }

    /**
     * Copies this section with the relay of another failure domain.
     *
     * @param domain the failure domain, not null
     * @param relay the instance that last reported from the domain, not null
     * @return the copy, never null
     */
    public RelaySection withRemoteRelay(final FailureDomainName domain, final InstanceName relay) {
        return new RelaySection(
                history,
                historyStart,
                queries,
                lastQueryAt,
                query,
                answeredAt,
                domainReports,
                foreignReports,
                remoteRelays.plus(domain, relay),
                passingOnSoon);
    }

    /**
     * Copies this section with another time at which reports are passed on.
     *
     * @param soon whether the reports are passed on earlier than usual
     * @return the copy, never null
     */
    public RelaySection withPassingOnSoon(final boolean soon) {
        return new RelaySection(
                history,
                historyStart,
                queries,
                lastQueryAt,
                query,
                answeredAt,
                domainReports,
                foreignReports,
                remoteRelays,
                soon);
    }

    /**
     * A change of the store.
     *
     * @param revision the store's revision up to which changes were received together with this one
     * @param change the change, not null
     */
    public record HistoryEntry(StoreRevision revision, StoreChange change) {}

    /**
     * A query of another instance.
     *
     * @param number the number of the query at its sender
     * @param revision the store's revision up to which the sender knows all changes
     * @param receivedAt when the query arrived, not null
     */
    public record PendingQuery(long number, StoreRevision revision, Instant receivedAt) {}

    /**
     * A query of this instance.
     *
     * @param number the number of the query, zero before the first one
     * @param sentAt when the query was sent, not null
     * @param answered whether a relay has answered the query
     * @param rank the rank of the relay that received the query, from zero
     */
    public record SentQuery(long number, Instant sentAt, boolean answered, int rank) {
        /** The state before the first query. */
        public static final SentQuery NONE = new SentQuery(0, Instant.EPOCH, true, 0);
    }
}
