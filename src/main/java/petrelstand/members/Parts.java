package petrelstand.members;

/** The parts of one process's membership, as its protocols share them. */
record Parts(
        MembershipView view,
        ProvenLives proven,
        PendingQuestions pending,
        Prober prober,
        Outbox outbox,
        Dissemination dissemination,
        FailureDetector detector,
        LocalHealth health,
        Departure departure,
        AntiEntropy antiEntropy,
        NameClaim nameClaim,
        ClaimIntake claims) {}
