package org.lacewingstep.traffic;

import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/**
 * Pulls the items of a stream one by one; all calls are made on the event loop of one execution.
 *
 * @param <T> the items' type
 */
final class PullSubscriber<T> implements Subscriber<T> {
    private boolean cancelled;
    private Signal<T> ending;
    private Subscription subscription;
    private Downstream<? super Signal<T>> waiting;

    /** Cancels the stream. */
    void cancel() {
        cancelled = true;
        if (subscription != null) {
            subscription.cancel();
        }
    }

    /**
     * Pulls the next signal.
     *
     * @return an item or the end of the stream
     */
    Promise<Signal<T>> next() {
        return Promise.async(receiver -> {
            if (ending != null) {
                receiver.success(ending);
            } else {
                waiting = receiver;
                subscription.request(1);
            }
        });
    }

    @Override
    public void onComplete() {
        end(new Signal.Ended<>());
    }

    @Override
    public void onError(final Throwable failure) {
        end(new Signal.Broken<>(failure));
    }

    @Override
    public void onNext(final T item) {
        answer(new Signal.Item<>(item));
    }

    @Override
    public void onSubscribe(final Subscription opened) {
        subscription = opened;
        if (cancelled) {
            opened.cancel();
        }
    }

    private void answer(final Signal<T> signal) {
        final Downstream<? super Signal<T>> receiver = waiting;
        waiting = null;
        if (receiver != null) {
            receiver.success(signal);
        }
    }

    private void end(final Signal<T> signal) {
        ending = signal;
        answer(signal);
    }

    /**
     * What a stream signals.
     *
     * @param <T> the items' type
     */
    sealed interface Signal<T> {
        /**
         * The stream broke off.
         *
         * @param <T> the items' type
         * @param failure the cause, not null
         */
        record Broken<T>(Throwable failure) implements Signal<T> {}

        /**
         * The stream ended.
         *
         * @param <T> the items' type
         */
        record Ended<T>() implements Signal<T> {}

        /**
         * An item.
         *
         * @param <T> the items' type
         * @param value the item, not null
         */
        record Item<T>(T value) implements Signal<T> {}
    }
}
