package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A revision of the platform's store. The store gives numbers out again after it came back from a copy, so a number
 * identifies a state only together with the era in which it was given out.
 *
 * @param era the era of the store, zero for a store that names none
 * @param number the store's number of the revision, zero for no revision
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    private static final int NUMBER_BITS = 40;

    /** The revision of an item that is not known. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    /** Highest era; the number of {@link #toLong()} stays exact in a JSON number. */
    public static final long MAX_ERA = (1L << 13) - 1;

    /** Highest number; a store that writes a thousand revisions a second gets there in three decades. */
    public static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

    /** Checks the ranges. */
    public StoreRevision {
        Validate.isTrue(era >= 0 && era <= MAX_ERA, "era", "between 0 and " + MAX_ERA);
        Validate.isTrue(number >= 0 && number <= MAX_NUMBER, "number", "between 0 and " + MAX_NUMBER);
    }

    /**
     * Returns the revision that stands for an item which does not exist.
     *
     * @param era the era of the store
     * @return the revision, never null
     */
    public static StoreRevision absent(final long era) {
        return new StoreRevision(era, 0);
    }

    /**
     * Decodes a revision.
     *
     * @param value the result of {@link #toLong()}
     * @return the revision, never null
     * @throws org.lacewingstep.error.RouterException if the number does not stand for a revision
     */
    public static StoreRevision fromLong(final long value) {
        return new StoreRevision(value >> NUMBER_BITS, value & MAX_NUMBER);
    }

    /**
     * Encodes this revision as one number, in the order of revisions.
     *
     * @return the number, the store's number itself in era zero
     */
    public long toLong() {
        return era << NUMBER_BITS | number;
    }

    /**
     * Returns whether this revision is later.
     *
     * @param other the other revision, not null
     * @return true if this revision has a higher era, or a higher number in the same era
     */
    public boolean isAfter(final StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(final StoreRevision other) {
        return Long.compare(toLong(), other.toLong());
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
