package review2;

/** The bounds of a small site, as its sheet states them. */
final class Bounds {
    static final String SMALL = """
            {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
             "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
             "revokeEverywhere": true, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 58,
             "quotaWindowS": 8, "quotaOver": 0.1, "quotaSlack": 140000, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000,
             "recoverS": 12, "transitMs": 120, "againS": 7.1, "enforceFencing": true, "leaseMs": 3000, "thawMs": 300}""";

    private Bounds() {}
}
