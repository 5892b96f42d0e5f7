package trestleline.signaling;

import io.netty.channel.ChannelConfig;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Reads a socket in small chunks and stops between any two of them. Pausing a {@link NetSocket} does not: it reads on
 * until several buffers are full, up to about 1 MiB, whatever other connections hold at that time.
 */
final class ReadControl {
    /** Bytes that are read at once. */
    static final int CHUNK_BYTES = 4096;
    /** Chunks that are read in one pass of the event loop. */
    private static final int CHUNKS_PER_PASS = 4;

    private final ChannelConfig config;

    /** Takes over the reading of a socket from which nothing was read yet. */
    ReadControl(NetSocket socket) {
        config = ((NetSocketInternal) socket).channelHandlerContext().channel().config();
        config.setRecvByteBufAllocator(new FixedRecvByteBufAllocator(CHUNK_BYTES).maxMessagesPerRead(CHUNKS_PER_PASS));
    }

    /** Reads nothing more, not even in this pass, until {@link #resume}. */
    void pause() {
        config.setAutoRead(false);
    }

    void resume() {
        config.setAutoRead(true);
    }

    boolean isPaused() {
        return !config.isAutoRead();
    }
}
