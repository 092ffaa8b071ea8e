import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a daemon. */
final class Caller implements AutoCloseable {
    /** The answer to a request; status 0 if the connection ended without a complete one. */
    record Answer(int status, String body, String reason) {}

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Caller(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void timeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Sends a request with a body in pieces, with a pause after each. */
    void send(String method, String path, String host, String key, String id, int deadlineMillis, int bodyBytes, int pieceBytes, long pauseMillis)
            throws IOException, InterruptedException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + key
                + "\r\nSesamehead-Attempt-Id: " + id + "\r\nSesamehead-Deadline-Remaining: " + deadlineMillis
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        byte[] piece = new byte[Math.max(1, Math.min(pieceBytes, bodyBytes))];
        java.util.Arrays.fill(piece, (byte) 'x');
        byte[] mark = id.getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(mark, 0, piece, 0, Math.min(mark.length, piece.length));
        for (int sent = 0; sent < bodyBytes; ) {
            int count = Math.min(piece.length, bodyBytes - sent);
            out.write(piece, 0, count);
            sent += count;
            if (pauseMillis > 0) {
                Thread.sleep(pauseMillis);
            }
        }
        out.flush();
    }

    /** Sends a request without a body and with a note of some length among its headers. */
    void get(String path, String host, String key, String id, int deadlineMillis, int noteBytes) throws IOException {
        String head = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + key
                + "\r\nSesamehead-Attempt-Id: " + id + "\r\nSesamehead-Deadline-Remaining: " + deadlineMillis
                + "\r\nX-Note: " + "n".repeat(noteBytes) + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    Answer receive() {
        try {
            String status = line();
            if (status == null) {
                return new Answer(0, "", "closed without an answer");
            }
            int length = 0;
            for (String header = line(); header != null && !header.isEmpty(); header = line()) {
                if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(header.substring(15).trim());
                }
            }
            byte[] body = in.readNBytes(length);
            return body.length < length
                    ? new Answer(0, "", "closed within the answer")
                    : new Answer(Integer.parseInt(status.split(" ")[1]), new String(body), status);
        } catch (IOException e) {
            return new Answer(0, "", e.toString());
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString().trim();
            }
            line.write(c);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
