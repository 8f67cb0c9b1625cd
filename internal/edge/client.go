package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before a
	// connection counts as dead.
	userTimeout = time.Second
	// keepAlive is how often an idle connection is probed.
	keepAlive = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
)

// NewHTTPClient returns a client whose connections are known dead within about a
// second of a cut. Calls need deadlines of their own.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: setUserTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTime}}
}

// ExpectAnswer returns a context for HTTP calls that ends unless the first byte of an
// answer has come after first, and the whole answer within rest of that byte. Each
// further call with the context has rest again. A nil begun is allowed; it is called
// at each first byte.
func ExpectAnswer(ctx context.Context, firstByte, rest time.Duration, onFirstByte func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(firstByte, func() { cancel(context.DeadlineExceeded) })
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
		timer.Reset(rest)
		if onFirstByte != nil {
			onFirstByte()
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
