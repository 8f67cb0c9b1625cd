package edge

import (
	"errors"
	"net"
	"net/http"
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

func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
