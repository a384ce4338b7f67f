package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.domain.RetryCredit;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenBucket;

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
                    case Event.AllowanceSpent(TeamName team, long units) -> spend(board, team, units, now);
                    case Event.FirstSend() ->
                        withRepeats(section, AllowanceShare.repeats(board, now).earn(AllowanceShare.earned(board)));
                    case Event.RepeatSend() ->
                        withRepeats(section, AllowanceShare.repeats(board, now).spend());
                    default -> section;
                });
    }

    private static AllowanceSection spend(
            final Blackboard board, final TeamName team, final long units, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        return AllowanceShare.bucket(board, team, now)
                .map(bucket ->
                        new AllowanceSection(section.teams().plus(team, spent(bucket, units, now)), section.repeats()))
                .orElse(section);
    }

    private static TokenBucket spent(final TokenBucket bucket, final long units, final Instant now) {
        return bucket.debit(Math.min(units, bucket.level())).forgetBefore(now);
    }

    private static AllowanceSection withRepeats(final AllowanceSection section, final RetryCredit credit) {
        return new AllowanceSection(section.teams(), credit);
    }
}
