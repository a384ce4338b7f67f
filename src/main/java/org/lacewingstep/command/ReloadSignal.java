package org.lacewingstep.command;

import sun.misc.Signal;

/**
 * Receives SIGHUP from the start of the process on, and keeps a signal until there is somebody to reload the settings.
 * Without a handler, the signal ends a process that is still starting.
 */
final class ReloadSignal {
    private static boolean pending;
    private static Runnable receiver;

    private ReloadSignal() {}

    /** Installs the handler of the process. */
    static void install() {
        Signal.handle(new Signal("HUP"), signal -> receive());
    }

    /**
     * Sets who is notified of signals, and notifies at once if a signal has arrived before.
     *
     * @param newReceiver runs on each signal, not null
     */
    static synchronized void deliverTo(final Runnable newReceiver) {
        receiver = newReceiver;
        if (pending) {
            pending = false;
            newReceiver.run();
        }
    }

    private static synchronized void receive() {
        if (receiver == null) {
            pending = true;
        } else {
            receiver.run();
        }
    }
}
