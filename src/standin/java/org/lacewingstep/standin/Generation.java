package org.lacewingstep.standin;

import java.util.ArrayList;
import java.util.List;

/** One generation in a stand-in engine; it goes on without a reader until it is cancelled. */
final class Generation {
    private final String identifier;
    private final long limit;
    private final String owner;
    private final int pieces;
    private final StringBuilder text;
    private final List<String> words = new ArrayList<>();

    private final List<Runnable> waiting = new ArrayList<>();
    private boolean cancelled;

    Generation(final String identifier, final String owner, final int pieces, final String prompt, final long limit) {
        this.identifier = identifier;
        this.owner = owner;
        this.pieces = pieces;
        this.text = new StringBuilder(prompt);
        this.limit = limit;
    }

    /** Adds the next word and wakes the readers. */
    void advance() {
        final List<Runnable> woken;
        synchronized (this) {
            if (!isEnded()) {
                final String word = EngineText.next(text.toString());
                text.append(word);
                words.add(word);
            }
            woken = new ArrayList<>(waiting);
            waiting.clear();
        }
        woken.forEach(Runnable::run);
    }

    /** Cancels the generation and wakes the readers. */
    void cancel() {
        synchronized (this) {
            cancelled = true;
        }
        advance();
    }

    synchronized boolean hasWord(final int index) {
        return index < words.size();
    }

    String identifier() {
        return identifier;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    synchronized boolean isEnded() {
        return cancelled || words.size() >= limit;
    }

    String owner() {
        return owner;
    }

    int pieces() {
        return pieces;
    }

    /**
     * Calls a reader when a word, or the end, is there.
     *
     * @param index the word's index
     * @param reader the reader, not null
     */
    void whenReady(final int index, final Runnable reader) {
        synchronized (this) {
            if (!hasWord(index) && !isEnded()) {
                waiting.add(reader);
                return;
            }
        }
        reader.run();
    }

    synchronized String word(final int index) {
        return words.get(index);
    }
}
