package org.lacewingstep.control;

import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.platform.StoreAdapter;
import org.lacewingstep.traffic.CallDesk;

/**
 * Hands each effect of a process on a platform to the adapter that carries it out.
 *
 * @param calls delivers instructions to traffic threads, not null
 * @param store talks to the platform's store, not null
 * @param peers sends messages to other instances, not null
 * @param log writes decisions, not null
 * @param stopProcess ends the process, not null
 */
public record SiteEffects(CallDesk calls, StoreAdapter store, PeerNetwork peers, DecisionLog log, Runnable stopProcess)
        implements EffectHandler {
    @Override
    public void handle(final Effect effect) {
        switch (effect) {
            case Effect.SiteEffect site -> handle(site);
            case Effect.SendToPeer(var receiver, var message) -> peers.send(receiver, message);
            case Effect.StopProcess() -> stopProcess.run();
            default -> throw new IllegalArgumentException("no adapter carries out " + effect);
        }
    }

    private void handle(final Effect.SiteEffect effect) {
        switch (effect) {
            case Effect.InstructCall(var request, var instruction) -> calls.deliver(request, instruction);
            case Effect.ReadStore() -> store.readAll();
            case Effect.AwaitStoreChanges(long revision, var wait) -> store.awaitChanges(revision, wait);
            case Effect.ProveTable(long revision) -> store.proveTable(revision);
            case Effect.RenewPresence(var self, long lease, var life) -> store.renewPresence(self, lease, life);
            case Effect.Log(var decision) -> log.write(decision);
        }
    }
}
