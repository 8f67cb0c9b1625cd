// Package codec reads the msgpack that other balancers sent.
//
// The msgpack library allocates a list as long as its header announces before it reads
// the first element, so that a datagram of a few bytes could take all memory of a process.
// This package walks through a message first and decodes it only when all that is
// announced is there. The memory of a decoded message is then bounded by its length
// times the size of its largest element.
//
// # Usage
//
//	hello := &peers.Hello{}
//	if err := codec.Unmarshal(datagram[1:], hello); err != nil {
//		// The datagram is malformed: count it and drop it.
//	}
package codec

import (
	"bytes"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes one msgpack value into the value that into points to. Bytes after the
// value are ignored. Errors are the library's; into may then be half filled.
func Unmarshal(data []byte, into any) error {
	return unmarshal(bytes.NewReader(data), into)
}

// UnmarshalInPieces is Unmarshal that calls pause after each piece of data of some bytes, so
// that a long message does not keep the processor from other work.
func UnmarshalInPieces(data []byte, into any, piece int, pause func()) error {
	return unmarshal(&piecewise{Reader: bytes.NewReader(data), piece: piece, left: piece, pause: pause}, into)
}

type source interface {
	io.ReadSeeker
	io.ByteScanner
}

func unmarshal(data source, into any) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.UsePreallocateValues(true)
	decoder.Reset(data)
	if err := decoder.Skip(); err != nil {
		return err
	}
	if _, err := data.Seek(0, io.SeekStart); err != nil {
		return err
	}
	decoder.Reset(data)
	return decoder.Decode(into)
}

// piecewise pauses after each piece that was read.
type piecewise struct {
	*bytes.Reader
	piece, left int
	pause       func()
}

func (p *piecewise) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.read(n)
	return n, err
}

func (p *piecewise) ReadByte() (byte, error) {
	b, err := p.Reader.ReadByte()
	p.read(1)
	return b, err
}

func (p *piecewise) read(n int) {
	if p.left -= n; p.left <= 0 {
		p.left = p.piece
		p.pause()
	}
}
