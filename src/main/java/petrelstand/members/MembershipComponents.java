package petrelstand.members;

/** The parts of one process's membership, as its protocols share them. */
record MembershipComponents(
        MembershipView view,
        VerifiedProcesses verified,
        PendingRequests pending,
        Prober prober,
        Outbox outbox,
        Dissemination dissemination,
        FailureDetector detector,
        LocalHealth health,
        LeaveProtocol leaveProtocol,
        AntiEntropy antiEntropy,
        NameOwnership nameOwnership,
        UpdateProcessor updateProcessor) {}
