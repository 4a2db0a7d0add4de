package granitefold.bench;

import granitefold.Dispatcher;

/** Ignores the actions of a dispatch policy. */
class NoActions implements Dispatcher.Actions {
    @Override
    public void send(long request, long worker, long waitUs, long startUs) { }

    @Override
    public void cancel(long request, int attempt) { }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) { }

    @Override
    public void fail(long request) { }

    @Override
    public void timer(long afterUs, long token) { }

    @Override
    public void sendToSibling(int sibling, byte[] message) { }

    @Override
    public void watch() { }
}
