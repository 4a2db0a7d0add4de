package granitefold.net;

import granitefold.operator.OperatorSettings;
import granitefold.wire.BadRequestException;
import granitefold.wire.ProxyHeader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.eclipse.jetty.io.EndPoint;

/** Reads the header by which a proxy tells the address of a client, where one is required. */
final class ProxyHandshake {
    /** How far the header has been read. */
    enum Progress { COMPLETE, MORE_INPUT, NO_INPUT }

    private final OperatorSettings.Clients settings;
    private boolean pending;
    private SocketAddress sourceAddress;

    ProxyHandshake(OperatorSettings.Clients settings, SocketAddress remoteAddress) {
        this.settings = settings;
        pending = settings.proxyHeaderRequired();
        sourceAddress = remoteAddress;
    }

    /** Returns whether the header is required and has not been read yet. */
    boolean pending() {
        return pending;
    }

    /** Returns the address of the client, as reported by the proxy if there is one. */
    SocketAddress sourceAddress() {
        return sourceAddress;
    }

    /** Reads the header from the input, which is filled if it is incomplete; throws if there is no valid header. */
    Progress read(ReadAheadBuffer input, EndPoint endPoint) throws BadRequestException, IOException {
        InetSocketAddress proxy = (InetSocketAddress) sourceAddress;
        if (!settings.proxySources().isEmpty() && !settings.proxySources().contains(proxy.getAddress())) {
            throw new BadRequestException(400, "not one of clients.proxy-from");
        }
        ProxyHeader header = ProxyHeader.decode(input.input());
        if (header != null) {
            pending = false;
            sourceAddress = header.source() == null ? sourceAddress : header.source();
            return Progress.COMPLETE;
        }
        int count = input.isFull() ? -1 : input.fillFrom(endPoint);
        if (count < 0) {
            throw new BadRequestException(400, "closed within its PROXY header");
        }
        return count > 0 ? Progress.MORE_INPUT : Progress.NO_INPUT;
    }
}
