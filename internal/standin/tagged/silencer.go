package tagged

import (
	"net"
	"sync"
	"sync/atomic"
)

// Silencer tracks connections and can drop all further traffic on them: they stay open at both
// ends, what either sends is discarded, and new connections work. The zero value is ready to
// use.
type Silencer struct {
	mutex       sync.Mutex
	connections map[*silentConnection]bool
}

// Silence permanently drops all traffic on the connections open now, also amid a response.
func (s *Silencer) Silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.connections {
		connection.silent.Store(true)
	}
}

// watch wraps a connection so that Silence applies to it until it is closed.
func (s *Silencer) watch(connection net.Conn) net.Conn {
	watched := &silentConnection{Conn: connection, silencer: s}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		s.connections = map[*silentConnection]bool{}
	}
	s.connections[watched] = true
	return watched
}

// silentConnection discards the bytes of both directions once silent is set.
type silentConnection struct {
	net.Conn
	silencer *Silencer
	silent   atomic.Bool
}

// Read implements net.Conn. Once silent, it returns only when the other end closes or a
// deadline passes.
func (c *silentConnection) Read(b []byte) (int, error) {
	for {
		length, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return length, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConnection) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *silentConnection) Close() error {
	c.silencer.mutex.Lock()
	delete(c.silencer.connections, c)
	c.silencer.mutex.Unlock()
	return c.Conn.Close()
}

// Listener wraps a listener so that Silence applies to the connections that it accepts.
func (s *Silencer) Listener(listener net.Listener) net.Listener {
	return silencedListener{listener, s}
}

// silencedListener registers accepted connections with the Silencer.
type silencedListener struct {
	net.Listener
	silencer *Silencer
}

// Accept implements net.Listener.
func (l silencedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.silencer.watch(connection), nil
}
