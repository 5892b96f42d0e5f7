package trestleline.mutation;

import io.vertx.core.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import trestleline.core.Attempt;
import trestleline.core.AttemptJournal;
import trestleline.core.MediaHosts;
import trestleline.core.Outcome;
import trestleline.core.PreWriteCheck;
import trestleline.daemon.ComponentHooks;
import trestleline.hosts.ReceiptSource;
import trestleline.ledger.Head;
import trestleline.ledger.Outbox;
import trestleline.ledger.store.ForwardingStore;
import trestleline.ledger.store.LedgerStore;
import trestleline.placement.Placement;

/**
 * Faults put into the real gateway, each the size of one wrong line of code. {@code rule} is the number of the rule
 * that the fault breaks: 0 for none, 7 for the agreement of the ledger with the hosts.
 */
enum Flaw {
    /** The gateway without a fault. */
    TRUE(0, () -> ComponentHooks.NONE),
    /** A correct module that gives attempts up 700 ms early, as another implementation of the module might. */
    TRUE_IMPATIENT(0, () -> FaultyHooks.mapModule(null, Flaw::expireEarly)),

    // Rule 1: one answer in time
    TIMERS_SLOW(1, () -> FaultyHooks.wrapTimers(real -> (ms, task) -> real.after(ms < 100 ? ms : ms * 1.6, task))),
    TIMERS_LOST(
            1,
            () -> FaultyHooks.wrapTimers(real -> {
                int[] longTimers = {0};
                return (ms, task) -> {
                    boolean kept = ms < 700 || ++longTimers[0] % 3 == 0;
                    return kept ? real.after(ms, task) : () -> {};
                };
            })),
    DEADLINE_TOO_LONG(
            1,
            () -> FaultyHooks.mapSettings(s -> FaultyHooks.withClasses(
                    s,
                    t -> FaultyHooks.withOverrides(
                            t, t.deadline() + 1200, t.effect(), t.minRung(), t.maxSessionsPerTitle())))),
    LOOP_BLOCKED(
            1,
            () -> FaultyHooks.wrapHosts(real -> new FaultyHooks.ForwardingHosts(real) {
                private int setUps;

                @Override
                public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
                    if (++setUps % 15 == 0) blockThread(1500);
                    return super.setUp(attempt, listener);
                }
            })),

    // Rule 2: no set-up twice
    RESET_IS_CONNECT_ERROR(
            2, () -> FaultyHooks.mapOutcomes(o -> o == Outcome.RESET_BY_PEER ? Outcome.CONNECT_ERROR : o)),
    FAILED_IS_QUEUE_FULL(2, () -> FaultyHooks.mapOutcomes(o -> o == Outcome.FAILED ? Outcome.QUEUE_FULL : o)),
    TIMED_OUT_IS_CONNECT_ERROR(
            2,
            () -> FaultyHooks.mapModule(
                    e -> e instanceof Placement.AttemptEnded r && r.code().equals("TimedOut")
                            ? new Placement.AttemptEnded(
                                    r.req(),
                                    r.attemptIndex(),
                                    r.host(),
                                    r.elapsed(),
                                    r.requestClosed(),
                                    "ConnectError",
                                    r.report())
                            : e,
                    Flaw::expireEarly)),
    REFUSES_WHAT_MAY_HAVE_RUN(
            2,
            () -> FaultyHooks.mapModule(
                    null,
                    a -> a instanceof Placement.Fail f ? List.of(new Placement.Refuse(f.req(), 500)) : List.of(a))),
    PAID_TAKEN_AS_SAFE(
            2,
            () -> FaultyHooks.mapModuleSettings(s -> FaultyHooks.withClasses(
                    s,
                    t -> FaultyHooks.withOverrides(
                            t, t.deadline(), Placement.Effect.PURE, t.minRung(), t.maxSessionsPerTitle())))),
    ABANDONS_WITHOUT_CLOSING(
            2,
            () -> FaultyHooks.wrapHosts(real -> new FaultyHooks.ForwardingHosts(real) {
                @Override
                public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
                    boolean[] abandoned = {false};
                    super.setUp(attempt, new FaultyHooks.ForwardingListener(listener) {
                        @Override
                        public void sessionStarted(Map<String, Double> report) {
                            if (!abandoned[0]) super.sessionStarted(report);
                        }

                        @Override
                        public void setUpEnded(Outcome outcome, Map<String, Double> report) {
                            if (!abandoned[0]) super.setUpEnded(outcome, report);
                        }
                    });
                    return () -> abandoned[0] = true;
                }
            })),
    TWO_AT_ONCE(
            2,
            () -> FaultyHooks.wrapHosts(client -> new FaultyHooks.ForwardingHosts(client) {
                private final Map<String, String> previousHost = new HashMap<>();
                private int setUps;

                @Override
                public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
                    String other = previousHost.put("host", attempt.host());
                    if (++setUps % 5 == 0 && other != null && !other.equals(attempt.host())) {
                        Attempt twin = FaultyHooks.withIdAndHost(attempt, attempt.id() + "9", other);
                        client.setUp(twin, new FaultyHooks.ForwardingListener(listener) {
                            @Override
                            public MediaHosts.WriteDecision beforeWrite() {
                                return MediaHosts.WriteDecision.WRITE;
                            }

                            @Override
                            public void sessionStarted(Map<String, Double> report) {
                                client.release(twin);
                            }

                            @Override
                            public void setUpEnded(Outcome outcome, Map<String, Double> report) {}
                        });
                    }
                    return super.setUp(attempt, listener);
                }
            })),
    NAMES_USED_AGAIN(2, () -> new ComponentHooks() {
        @Override
        public String generation(String real) {
            return "always";
        }
    }),

    // Rule 3: no set-ups for hosts that drain or are gone
    WRITES_WHILE_LATE(
            3,
            () -> FaultyHooks.wrapPreWriteCheck(real -> f -> real.check(new PreWriteCheck.Facts(
                    f.wanted(), false, f.expired(), f.listed(), f.warmingUp(), f.elapsedMs(), f.intentCheck())))),
    WRITES_TO_WHAT_IS_NOT_LISTED(
            3,
            () -> FaultyHooks.wrapPreWriteCheck(real -> f -> real.check(new PreWriteCheck.Facts(
                    f.wanted(), f.late(), f.expired(), true, f.warmingUp(), f.elapsedMs(), f.intentCheck())))),
    LIST_HEARD_LATE(3, () -> new ComponentHooks() {
        @Override
        public java.util.function.Consumer<Placement.HostListUpdate> hostListListener(
                java.util.function.Consumer<Placement.HostListUpdate> real) {
            return u -> io.vertx.core.Vertx.currentContext().owner().setTimer(900, t -> real.accept(u));
        }
    }),
    DRAINS_NOT_UNDERSTOOD(
            3,
            () -> FaultyHooks.mapHostEntries(
                    e -> e.status().equals("Stopping") ? FaultyHooks.withStatus(e, "Running", e.startedAt()) : e)),
    GONE_NOT_UNDERSTOOD(3, () -> FaultyHooks.mapHostEntries(e -> e.status().equals("Running") ? e : null)),

    // Rule 4: no warming-up host overloaded
    STARTS_NOT_UNDERSTOOD(4, () -> FaultyHooks.mapHostEntries(e -> FaultyHooks.withStatus(e, e.status(), 0))),
    COLD_TAKEN_AS_WARM(
            4,
            () -> FaultyHooks.mapModuleSettings(s ->
                    FaultyHooks.withRules(s, s.rules().retryShare(), s.rules().retryWindow(), 1, 0))),
    BELIEVES_IT_IS_ALONE(4, () -> FaultyHooks.mapModuleSettings(FaultyHooks::asOnlyGateway)),

    TURNS_MADE_UP_FOR(
            4,
            () -> FaultyHooks.wrapPreWriteCheck(real -> f -> real.check(new PreWriteCheck.Facts(
                    f.wanted(), f.late(), f.expired(), f.listed(), f.warmingUp(), 0, f.intentCheck())))),

    // Rule 5: lowest rungs and limits of sessions per title
    FLOOR_FORGOTTEN(
            5,
            () -> FaultyHooks.mapModuleSettings(s -> FaultyHooks.withClasses(
                    s, t -> FaultyHooks.withOverrides(t, t.deadline(), t.effect(), 0, t.maxSessionsPerTitle())))),
    ONE_RUNG_TOO_LOW(
            5,
            () -> FaultyHooks.mapModule(
                    null,
                    a -> a instanceof Placement.SetRung r && r.rung() > 0
                            ? List.of(new Placement.SetRung(r.req(), r.rung() - 1))
                            : List.of(a))),
    SEATS_FORGOTTEN(
            5,
            () -> FaultyHooks.mapModuleSettings(s -> FaultyHooks.withClasses(
                    s, t -> FaultyHooks.withOverrides(t, t.deadline(), t.effect(), t.minRung(), 0)))),
    SHARES_NOT_FREED(
            5,
            () -> FaultyHooks.wrapHosts(real -> new FaultyHooks.ForwardingHosts(real) {
                @Override
                public void release(Attempt attempt) {}
            })),

    // Rule 6: retries within their budget
    BUDGET_FORGOTTEN(
            6,
            () -> FaultyHooks.mapModuleSettings(s -> FaultyHooks.withRules(
                    s,
                    s.rules().retryShare(),
                    0,
                    s.rules().coldShare(),
                    s.rules().warmUp()))),
    BUDGET_TEN_TIMES(
            6,
            () -> FaultyHooks.mapModuleSettings(s -> FaultyHooks.withRules(
                    s,
                    10 * s.rules().retryShare(),
                    s.rules().retryWindow(),
                    s.rules().coldShare(),
                    s.rules().warmUp()))),
    CLIENT_REPEATS_BY_ITSELF(
            6,
            () -> FaultyHooks.wrapHosts(real -> new FaultyHooks.ForwardingHosts(real) {
                private final Set<String> seen = new HashSet<>();

                @Override
                public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
                    seen.add(attempt.host());
                    return resend(attempt, listener, 0);
                }

                private PendingSetUp resend(Attempt attempt, SetUpListener listener, int retries) {
                    PendingSetUp[] current = new PendingSetUp[1];
                    current[0] = delegate.setUp(
                            retries == 0
                                    ? attempt
                                    : FaultyHooks.withIdAndHost(attempt, attempt.id() + retries, attempt.host()),
                            new FaultyHooks.ForwardingListener(listener) {
                                @Override
                                public void setUpEnded(Outcome outcome, Map<String, Double> report) {
                                    if (outcome == Outcome.QUEUE_FULL && retries < 3)
                                        current[0] = resend(attempt, listener, retries + 1);
                                    else super.setUpEnded(outcome, report);
                                }
                            });
                    return () -> current[0].abandon();
                }
            })),

    // Rule 7: the ledger agrees with the hosts
    INTENT_NOT_AWAITED(7, () -> new ComponentHooks() {
        @Override
        public AttemptJournal attemptJournal(AttemptJournal real) {
            return new FaultyHooks.ForwardingJournal(real) {
                @Override
                public MediaHosts.WriteDecision checkIntent(Attempt attempt) {
                    return MediaHosts.WriteDecision.WRITE;
                }
            };
        }

        @Override
        public ReceiptSource receiptSource(ReceiptSource real) {
            return new SuppressedReceipts(real, true); // only a sweep would find what was lost with the intent
        }
    }),
    RECEIPT_LOST(7, () -> new ComponentHooks() {
        @Override
        public ReceiptSource receiptSource(ReceiptSource real) {
            return new SuppressedReceipts(real, false);
        }
    }),
    RAN_WRITTEN_AS_NEVER(
            7,
            () -> FaultyHooks.wrapJournal(real -> new FaultyHooks.ForwardingJournal(real) {
                @Override
                public void recordOutcome(Attempt attempt, Outcome outcome) {
                    super.recordOutcome(
                            attempt,
                            outcome == Outcome.RESET_BY_PEER || outcome == Outcome.FAILED
                                    ? Outcome.QUEUE_FULL
                                    : outcome);
                }
            })),
    CURSOR_MOVED_TOO_EARLY_FOR_GOOD(7, () -> new ComponentHooks() {
        @Override
        public Outbox outbox(Outbox.Settings terms, long seed) {
            return new Outbox(terms, seed) {
                private SendBatch lastSend;

                @Override
                public Step nextStep(double now) {
                    Step step = super.nextStep(now);
                    if (step instanceof SendBatch send) lastSend = send;
                    return step;
                }

                @Override
                public void recordFailure(double now) {
                    if (lastSend == null) super.recordFailure(now);
                    else acknowledged(lastSend.generation(), lastSend.to(), true);
                    lastSend = null;
                }

                @Override
                public void recordConflict(double now) {
                    recordFailure(now);
                }
            };
        }
    }),
    HEAD_OF_THE_ENTRY_BEFORE(
            7,
            () -> FaultyHooks.mapHeads(
                    h -> h.seq() == 0 ? h : new Head(h.gateway(), h.generation(), h.seq() - 1, h.seal(), h.starts()))),
    HEAD_ONE_BATCH_SHORT(7, () -> new ComponentHooks() {
        private final java.util.Map<String, Head> newestHeads = new java.util.HashMap<>();
        private final java.util.Map<String, Head> previousHeads = new java.util.HashMap<>();

        @Override
        public synchronized Head head(Head real) {
            Head previous = newestHeads.put(real.chainId(), real);
            if (previous != null && previous.seq() < real.seq()) previousHeads.put(real.chainId(), previous);
            return previousHeads.getOrDefault(real.chainId(), real);
        }
    }),
    HEAD_PROMISES_THE_NEXT_ENTRY(
            7,
            () -> FaultyHooks.mapHeads(h -> new Head(h.gateway(), h.generation(), h.seq() + 1, h.seal(), h.starts()))),
    HEAD_COUNTS_TOO_LITTLE(
            7,
            () -> FaultyHooks.mapHeads(
                    h -> new Head(h.gateway(), h.generation(), h.seq(), h.seal(), java.util.Map.of()))),
    HEAD_NAMES_ANOTHER_GENERATION(
            7, () -> FaultyHooks.mapHeads(h -> new Head(h.gateway(), "g", h.seq(), h.seal(), h.starts()))),
    SAFE_BEFORE_IT_IS_WRITTEN(7, () -> new ComponentHooks() {
        @Override
        public LedgerStore store(LedgerStore real) {
            return new ForwardingStore(real) {
                private final java.util.ArrayDeque<List<String>> pending = new java.util.ArrayDeque<>();

                @Override
                public void append(List<String> lines) throws IOException {
                    pending.addLast(new ArrayList<>(lines));
                    if (pending.size() > 6) super.append(pending.removeFirst());
                }
            };
        }

        @Override
        public ReceiptSource receiptSource(ReceiptSource real) {
            return new SuppressedReceipts(real, true);
        }
    });

    final int rule;
    final Supplier<ComponentHooks> seams;

    Flaw(int rule, Supplier<ComponentHooks> seams) {
        this.rule = rule;
        this.seams = seams;
    }

    private static List<Placement.Action> expireEarly(Placement.Action action) {
        return action instanceof Placement.StartAttempt attempt
                ? List.of(new Placement.StartAttempt(attempt.req(), attempt.host(), attempt.expiresAt() - 700))
                : List.of(action);
    }

    private static void blockThread(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Withholds receipts of hosts: sweeps find none, and unless {@code sweepsOnly}, single attempts are reported as
     * never run.
     */
    private record SuppressedReceipts(ReceiptSource delegate, boolean sweepsOnly) implements ReceiptSource {
        @Override
        public Set<String> hostNames() {
            return delegate.hostNames();
        }

        @Override
        public Future<Boolean> queryAttempt(String host, String attempt) {
            return sweepsOnly ? delegate.queryAttempt(host, attempt) : Future.succeededFuture(false);
        }

        @Override
        public Future<List<Receipt>> listReceipts(String host, String gatewayName, double after) {
            return Future.succeededFuture(List.of());
        }
    }
}
