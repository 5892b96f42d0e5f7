package trestleline.signaling;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops accepting connections while as many as allowed are open. Connections are accepted by a thread of their own, far
 * faster than the event loop is told of them; without a limit there the process runs out of descriptors, and accepts
 * nothing for a second. Those that are not accepted yet wait in the backlog of the socket.
 */
final class AcceptControl {
    private static final AttributeKey<Boolean> COUNTED = AttributeKey.valueOf(AcceptControl.class, "counted");
    private final int maxOpen;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean held;
    /** The server that accepts; null until it has accepted a connection. Set on the event loop. */
    private Channel server;

    /** @param maxOpen connections that may be open at once, rejected ones that are being closed among them */
    AcceptControl(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /**
     * Must be called for each connection on the event loop. The first call installs this at the server that has
     * accepted the connection; the few that were accepted before are counted as they come.
     */
    void opened(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        if (server == null) {
            server = channel.parent();
            server.pipeline().addFirst(new AcceptCounter());
        }
        if (!channel.hasAttr(COUNTED)) count(server, channel);
    }

    /** Holds back whatever is not accepted yet, or lets it come; to be called on the event loop. */
    void hold(boolean hold) {
        held = hold;
        if (server != null) update(server);
    }

    private void count(Channel acceptingServer, Channel accepted) {
        accepted.attr(COUNTED).set(true);
        open.incrementAndGet();
        accepted.closeFuture().addListener(closed -> {
            open.decrementAndGet();
            update(acceptingServer);
        });
        update(acceptingServer);
    }

    /** Both threads call this: whoever is last to set the state has looked at what the other one changed. */
    private void update(Channel acceptingServer) {
        boolean accepts;
        do {
            accepts = mayAccept();
            acceptingServer.config().setAutoRead(accepts);
        } while (accepts != mayAccept());
    }

    private boolean mayAccept() {
        return !held && open.get() < maxOpen;
    }

    /** Counts what the server accepts; runs on the accepting thread. */
    private final class AcceptCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            count(context.channel(), (Channel) accepted);
            context.fireChannelRead(accepted);
        }
    }
}
