package tagged

import (
	"net"
	"sync"
	"sync/atomic"
)

// Silencer knows the connections that one side of a stand-in holds open, and lets them fall
// silent: both ends stay open, what either sends vanishes, and new connections work. The zero
// value is ready.
type Silencer struct {
	mutex       sync.Mutex
	connections map[*silentConnection]bool
}

// Silence lets all connections that are open now fall silent for good, also within an answer.
func (s *Silencer) Silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.connections {
		connection.silent.Store(true)
	}
}

// watch returns the connection, such that Silence reaches it until it is closed.
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

// silentConnection is a connection whose bytes vanish in both directions once silent is set.
type silentConnection struct {
	net.Conn
	silencer *Silencer
	silent   atomic.Bool
}

// Read implements net.Conn. It returns when the other end closes or a deadline passes.
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

// Listener returns the listener, such that Silence reaches the connections that it accepts.
func (s *Silencer) Listener(listener net.Listener) net.Listener {
	return silencedListener{listener, s}
}

// silencedListener hands out connections that the Silencer reaches.
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
