package granitefold.benchlink;

import granitefold.policy.DispatchPolicy;
import granitefold.Dispatcher;
import granitefold.Dispatcher.Report;
import granitefold.Dispatcher.Request;
import granitefold.Dispatcher.Settings;
import granitefold.wire.WireCodes;
import java.util.Base64;
import java.util.List;

/** One instance of the module on the wire: events to calls, calls on the sink to actions. Decides nothing. */
final class Instance implements Dispatcher.Actions {
    private final Reply reply;
    private final Dispatcher module;
    /** For each place in a load report: which field of {@link Report} it fills, or -1. */
    private final int[] fields;
    private boolean first;
    private byte[] told;
    private String text;

    Instance(Settings settings, List<String> reportNames, long seed, Reply reply) {
        this.reply = reply;
        fields = new int[reportNames.size()];
        for (int i = 0; i < fields.length; i++) {
            fields[i] = switch (reportNames.get(i)) {
                case "rif" -> 0;
                case "q" -> 1;
                case "busy" -> 2;
                case "lat_ms" -> 3;
                case "rate" -> 4;
                case "x0" -> 5;
                case "x1" -> 6;
                default -> -1;
            };
        }
        module = new DispatchPolicy(settings, seed, this);
    }

    /** The next action is the first of a reply's part: no comma before it. */
    void begin(boolean first) {
        this.first = first;
    }

    boolean silent() {
        return first;
    }

    void play(long now, Event e, ListTable lists) {
        switch (e.verb) {
            case "PowerOn" -> module.start(now);
            case "Members" -> {
                Dispatcher.ListUpdate news = WireCodes.news(e.how == null ? "" : e.how);
                module.listUpdated(now, news, news == Dispatcher.ListUpdate.FAILED ? List.of() : lists.get(e.list));
            }
            case "Ingress" -> module.requested(now, new Request(e.request(), e.category, e.clientGroup,
                    Math.round(e.timeLeftMs * 1000), e.expectedMs * 1000, e.needs, e.ramUnits,
                    WireCodes.key(e.item)));
            case "Note" -> {
                if (e.topic == 1) {
                    module.started(now, e.request(), e.trial);
                } else if (e.topic == 2) {
                    module.progressed(now, e.request(), e.trial, e.amount);
                }
            }
            case "Response" -> module.ended(now, e.request(), e.trial, e.ended, WireCodes.outcome(e.code), report(e));
            case "Expired" -> module.expired(now, e.request());
            case "Elapsed" -> module.elapsed(now, e.label);
            case "FromPeer" -> module.messageReceived(now, e.src, e.body == null ? new byte[0] : e.body);
            default -> { }
        }
    }

    private Report report(Event e) {
        if (e.feedback == null) {
            return null;
        }
        double[] v = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (int i = 0; i < e.feedbackSize && i < fields.length; i++) {
            if (fields[i] >= 0) {
                v[fields[i]] = e.feedback[i];
            }
        }
        return new Report(v[0], v[1], v[2], v[3] * 1000, v[4], v[5], v[6]);
    }

    private Reply action(String head) {
        if (!first) {
            reply.raw(",");
        }
        first = false;
        return reply.raw(head);
    }

    /** Ends the day: the module broke. */
    void giveIn(String why) {
        action("{\"verb\":\"GiveIn\",\"message\":").text(why).raw("}");
    }

    @Override
    public void send(long request, long worker, long waitUs, long startUs) {
        action("{\"verb\":\"Try\",\"msgId\":").number(request).raw(",\"runner\":").number(worker);
        if (waitUs != 0) {
            reply.raw(",\"maxWaitMs\":").millis(waitUs);
        }
        reply.raw("}");
    }

    @Override
    public void cancel(long request, int attempt) {
        action("{\"verb\":\"DropAttempt\",\"msgId\":").number(request).raw(",\"trial\":").number(attempt).raw("}");
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) {
        action("{\"verb\":\"Reject\",\"msgId\":").number(request);
        if (retryAfterUs > 0) {
            reply.raw(",\"waitMs\":").millis(retryAfterUs);
        }
        reply.raw("}");
    }

    @Override
    public void fail(long request) {
        action("{\"verb\":\"Surrender\",\"msgId\":").number(request).raw("}");
    }

    @Override
    public void timer(long afterUs, long token) {
        action("{\"verb\":\"Remind\",\"afterMs\":").millis(afterUs).raw(",\"label\":").number(token).raw("}");
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        if (message != told) {
            // the same message goes to many siblings
            told = message;
            text = Base64.getEncoder().encodeToString(message);
        }
        action("{\"verb\":\"Announce\",\"whom\":").number(sibling).raw(",\"body\":\"")
                .raw(text).raw("\"}");
    }

    @Override
    public void watch() {
        action("{\"verb\":\"Watch\",\"active\":true}");
    }
}
