package org.lacewingstep.control;

import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.platform.PlatformStoreAdapter;
import org.lacewingstep.platform.UpstreamOrderAdapter;
import org.lacewingstep.traffic.OpenCalls;

/**
 * Dispatches each effect to the adapter that executes it, for a process that serves the registry of a platform.
 *
 * @param openCalls delivers instructions to traffic threads, not null
 * @param store reads and writes the platform's store, not null
 * @param orders sends orders to upstreams, not null
 * @param peers sends messages to other instances, not null
 * @param log writes decisions to the log, not null
 * @param stopProcess stops the process, not null
 */
public record PlatformEffectDispatcher(
        OpenCalls openCalls,
        PlatformStoreAdapter store,
        UpstreamOrderAdapter orders,
        PeerNetwork peers,
        DecisionLog log,
        Runnable stopProcess)
        implements EffectHandler {
    @Override
    public void handle(final Effect effect) {
        switch (effect) {
            case Effect.PlatformEffect platformEffect -> handle(platformEffect);
            case Effect.SendToPeer(var receiver, var message) -> peers.send(receiver, message);
            case Effect.StopProcess() -> stopProcess.run();
            default -> throw new IllegalArgumentException("no adapter executes " + effect);
        }
    }

    private void handle(final Effect.PlatformEffect effect) {
        switch (effect) {
            case Effect.InstructCall(var request, var instruction) -> openCalls.deliver(request, instruction);
            case Effect.ReadStore() -> store.readAll();
            case Effect.AwaitStoreChanges(StoreRevision revision, var wait) -> store.pollChanges(revision, wait);
            case Effect.ConfirmTable(StoreRevision revision) -> store.confirmTable(revision);
            case Effect.RenewPresence(var self, long lease, var duration) -> store.renewPresence(self, lease, duration);
            case Effect.WriteRolePlan(var plan, StoreRevision revision) -> store.writeRolePlan(plan, revision);
            case Effect.WriteRolloutPlan(var plan, StoreRevision revision) -> store.writeRolloutPlan(plan, revision);
            case Effect.OrderRole(var engine, var role, var holder, long fence) ->
                orders.orderRole(engine, role, holder, fence);
            case Effect.Log(var decision) -> log.write(decision);
        }
    }
}
