// Package codec decodes msgpack from untrusted peers.
//
// The msgpack library allocates a list with the length that its header declares before
// it reads the first element, so a datagram of a few bytes could exhaust the memory.
// This package scans a message first and decodes it only if it is complete. That bounds
// the memory of a decoded message to its length times the size of its largest element.
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

// Unmarshal decodes one msgpack value into the value that into points to. It ignores bytes
// after the value. Errors are the library's; after one, into may be partly filled.
func Unmarshal(data []byte, into any) error {
	return unmarshal(bytes.NewReader(data), into)
}

// UnmarshalInPieces is like Unmarshal and calls pause after each pieceSize bytes that it
// reads, so that other work can run during a long message. It reads the message twice.
func UnmarshalInPieces(data []byte, into any, pieceSize int, pause func()) error {
	return unmarshal(&pausingReader{Reader: bytes.NewReader(data), pieceSize: pieceSize, remaining: pieceSize, pause: pause}, into)
}

// source is the input of a msgpack decoder.
type source interface {
	io.ReadSeeker
	io.ByteScanner
}

// unmarshal skips over the value, which fails if it is truncated, and then decodes it.
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

// pausingReader calls pause after each pieceSize bytes read. remaining is the number of
// bytes until the next call.
type pausingReader struct {
	*bytes.Reader
	pieceSize, remaining int
	pause                func()
}

func (p *pausingReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.advance(n)
	return n, err
}

func (p *pausingReader) ReadByte() (byte, error) {
	b, err := p.Reader.ReadByte()
	p.advance(1)
	return b, err
}

func (p *pausingReader) advance(n int) {
	if p.remaining -= n; p.remaining <= 0 {
		p.remaining = p.pieceSize
		p.pause()
	}
}
