package io.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Enough of HTTP/1.1 for the stand-ins: one message at a time on a blocking socket. */
final class Http {
    private Http() {}

    /** A request or a response. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Handles one connection until it ends. */
    interface Connection {
        void run(Socket socket) throws IOException, InterruptedException;
    }

    /** Accepts connections on a loopback address, each on a thread of its own. */
    static ServerSocket serve(String host, int port, Connection connection) throws IOException {
        ServerSocket server = new ServerSocket(port, 512, InetAddress.getByName(host));
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread.ofVirtual().start(() -> {
                        try (socket) {
                            connection.run(socket);
                        } catch (IOException | InterruptedException e) {
                            // The peer has gone.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    static InputStream input(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream(), 65_536);
    }

    /** Reads a head, or returns null at the end of the connection. The body is empty. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a message with a body that has a length or chunks, or returns null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("within chunks");
                }
                byte[] chunk = exactly(in, Integer.parseInt(size.trim(), 16));
                body.write(chunk);
                line(in);
                if (chunk.length == 0) {
                    return new Message(head.first(), head.headers(), body.toByteArray());
                }
            }
        }
        String length = head.header("content-length");
        byte[] body = exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Message(head.first(), head.headers(), body);
    }

    static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(c);
        }
        return null;
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] bytes = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
