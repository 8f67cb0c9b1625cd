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
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes a connection.
	userTimeout = time.Second
	// keepAlive is the interval of keep-alive probes on an idle connection.
	keepAlive = 500 * time.Millisecond
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 700 * time.Millisecond
)

// NewHTTPClient returns a client that detects a broken connection within about a second. Requests need
// their own deadlines.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: setUserTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout}}
}

// WithResponseTimeout returns a context for HTTP requests that ends unless the first byte of a response
// arrives within firstByte, and the whole response within rest of that byte. Each further request with the
// context has rest again. onFirstByte is called at each first byte and may be nil.
func WithResponseTimeout(ctx context.Context, firstByte, rest time.Duration, onFirstByte func()) (context.Context, context.CancelFunc) {
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
