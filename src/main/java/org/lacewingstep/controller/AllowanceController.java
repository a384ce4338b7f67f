package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.AllowanceSection.PeerDemand;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.DecayingSum;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Spends this instance's share of teams' rates and of repeated requests. */
public final class AllowanceController implements Controller<AllowanceSection> {
    @Override
    public Class<AllowanceSection> section() {
        return AllowanceSection.class;
    }

    @Override
    public Outcome<AllowanceSection> step(final Blackboard board, final Event event, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        return Outcome.of(
                switch (event) {
                    case Event.AllowanceAsked(TeamName team, long units) -> asked(section, team, units, now);
                    case Event.AllowanceSpent(TeamName team, long units) -> spend(board, team, units, now);
                    case Event.FirstSend() ->
                        section.withRepeats(AllowanceShare.repeats(board, now).earn(AllowanceShare.earned(board)));
                    case Event.RepeatSend() ->
                        section.withRepeats(AllowanceShare.repeats(board, now).spend());
                    case Event.TimerFired(TimerKey.LoadBroadcast()) ->
                        section.withDemands(section.asked(), AllowanceShare.ownDemands(board, now), section.peers());
                    case Event.PeerMessageReceived(Incarnation sender, PeerMessage.SiteLoad load) ->
                        section.withDemands(
                                section.asked(),
                                section.told(),
                                section.peers().plus(sender.instance(), new PeerDemand(now, load.demands())));
                    case Event.StoreRead read -> prepared(board, now);
                    case Event.StoreChanged changed -> prepared(board, now);
                    case Event.TableProved proved -> prepared(board, now);
                    default -> section;
                });
    }

    private static AllowanceSection asked(
            final AllowanceSection section, final TeamName team, final long units, final Instant now) {
        final DecayingSum sum =
                section.asked().getOrDefault(team, DecayingSum.ZERO).plus(units, now);
        return section.withDemands(section.asked().plus(team, sum), section.told(), section.peers());
    }

    /** A team's bucket begins to fill when its limit is learnt, not with its first request. */
    private static AllowanceSection prepared(final Blackboard board, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        final long revision = board.serving().routing().revision();
        if (section.tableRevision() == revision) {
            return section;
        }
        PMap<TeamName, AllowanceBucket> teams = HashTreePMap.empty();
        for (final TeamName team : board.serving().routing().table().teams().keySet()) {
            final Optional<AllowanceBucket> bucket = AllowanceShare.bucket(board, team, now);
            teams = bucket.isPresent() ? teams.plus(team, bucket.get()) : teams;
        }
        return section.withTeams(revision, teams);
    }

    private static AllowanceSection spend(
            final Blackboard board, final TeamName team, final long units, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        return AllowanceShare.bucket(board, team, now)
                .map(bucket -> section.withTeams(
                        section.tableRevision(), section.teams().plus(team, bucket.spend(units))))
                .orElse(section);
    }
}
