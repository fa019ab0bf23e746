package petrelstand.members;

/** The components of one {@link Membership} that its protocols share. */
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
