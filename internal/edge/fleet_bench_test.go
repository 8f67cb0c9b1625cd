package edge

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// largeFleet returns the full listing of 10,000 back ends in five zones.
func largeFleet() *directory.Listing {
	const count = 10_000
	random := rand.New(rand.NewPCG(1, 2))
	listing := &directory.Listing{Revision: count + 1, FromPeer: true}
	for i := range count {
		listing.Records = append(listing.Records, directory.Record{Revision: uint64(i + 1), Backend: directory.Backend{
			ID: settings.BackendID(random.Uint32()), StartTime: directory.StartTime(1_800_000_000_000 + i), Group: []string{"fonts", "fonts", "fonts", "fonts", "uploads"}[i%5],
			Zone: fmt.Sprintf("hall-number-%d", i/5%5), Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128 + byte(i>>16), byte(i >> 8), byte(i)}), 8080),
		}})
	}
	return listing
}

// BenchmarkLearnLargeFleet measures the cost of a full listing without settings: encoding it once for all followers,
// and decoding and installing it in each.
func BenchmarkLearnLargeFleet(b *testing.B) {
	answer := &peerAnswer{Listing: largeFleet()}
	encoded, err := encodeAnswer(answer)
	if err != nil {
		b.Fatal(err)
	}
	plain, err := unpack(encoded.bytes)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := encodeAnswer(answer); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(encoded.bytes)), "B/answer")
		b.ReportMetric(float64(len(plain)), "B/plain")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			plain, err := unpack(encoded.bytes)
			if err != nil {
				b.Fatal(err)
			}
			if err := codec.Unmarshal(plain, &peerAnswer{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("believe", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d := directory.New(time.Minute)
			d.Replace(0, answer.Listing)
			d.View()
		}
	})
}
