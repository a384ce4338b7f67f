package org.lacewingstep.standin;

import java.util.ArrayList;
import java.util.List;

/** A text generation in a stand-in engine, which continues without readers until its limit or a cancellation. */
final class Generation {
    private final String identifier;
    private final long maxWords;
    private final String owner;
    private final int memoryPieces;
    private final StringBuilder text;
    private final List<String> words = new ArrayList<>();

    private final List<Runnable> waitingReaders = new ArrayList<>();
    private boolean cancelled;

    Generation(
            final String identifier,
            final String owner,
            final int memoryPieces,
            final String prompt,
            final long maxWords) {
        this.identifier = identifier;
        this.owner = owner;
        this.memoryPieces = memoryPieces;
        this.text = new StringBuilder(prompt);
        this.maxWords = maxWords;
    }

    /** Generates the next word, unless the generation has ended, and notifies the waiting readers. */
    void advance() {
        final List<Runnable> notifiedReaders;
        synchronized (this) {
            if (!isEnded()) {
                final String word = EngineText.next(text.toString());
                text.append(word);
                words.add(word);
            }
            notifiedReaders = new ArrayList<>(waitingReaders);
            waitingReaders.clear();
        }
        notifiedReaders.forEach(Runnable::run);
    }

    /** Cancels the generation and notifies the waiting readers. */
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
        return cancelled || words.size() >= maxWords;
    }

    String owner() {
        return owner;
    }

    int memoryPieces() {
        return memoryPieces;
    }

    /**
     * Runs a callback once, as soon as a word is available or the generation has ended.
     *
     * @param index the index of the word
     * @param reader the callback, not null
     */
    void runWhenAvailable(final int index, final Runnable reader) {
        synchronized (this) {
            if (!hasWord(index) && !isEnded()) {
                waitingReaders.add(reader);
                return;
            }
        }
        reader.run();
    }

    synchronized String word(final int index) {
        return words.get(index);
    }
}
