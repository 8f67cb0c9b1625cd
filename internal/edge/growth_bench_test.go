package edge

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// routeTree returns the settings tree of a number of routes: a service with one group for each.
func routeTree(routes int) settings.Tree {
	tree := settings.Tree{"": settings.Values{settings.KeyFlowIdle: "15s"}}
	none := settings.Values{}
	group := settings.Values{settings.KeyDiscover: "ticks", settings.KeyShare: "1"}
	for i := range routes {
		host, port := fmt.Sprintf("198.18.%d.%d", i/250, i%250+1), 8443
		path := settings.Path(host + "-" + strconv.Itoa(port))
		tree[path] = settings.Values{settings.KeyAddress: host + ":" + strconv.Itoa(port), settings.KeyRepeatable: "true"}
		tree[path.Child("any")] = none
		tree[path.Child("any").Child("0")] = group
	}
	return tree
}

// settingsGrowth returns a directory with 40 routes, and the changes that add routes to it as a peer sends them.
func settingsGrowth(tb testing.TB, routes int) (*directory.Directory, *directory.Changes) {
	tb.Helper()
	first := &directory.Listing{Revision: 1, Settings: &directory.Settings{Version: 1, Revision: 1, Tree: routeTree(40)}}
	larger := &directory.Settings{Version: 2, Revision: 2, Tree: routeTree(40 + routes)}
	sender, follower := directory.New(0), directory.New(0)
	sender.Replace(0, first)
	follower.Replace(0, first)
	sender.Apply(0, &directory.Changes{Revision: 2, Settings: larger})
	changes, known := sender.ChangesSince(1, 1)
	if !known || changes.Step == nil {
		tb.Fatal("the changes have no step")
	}
	return follower, changes
}

func httpReply(encoded encodedAnswer) *http.Response {
	reply := &http.Response{Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(encoded.bytes))}
	reply.Header.Set(headerAge, "0")
	if encoded.compressed {
		reply.Header.Set("Content-Encoding", encodingGzip)
	}
	return reply
}

// BenchmarkGrowth measures the stages of applying settings that grow by some routes.
func BenchmarkGrowth(b *testing.B) {
	for _, routes := range []int{40, 1500, 20_000} {
		_, changes := settingsGrowth(b, routes)
		encoded, err := encodeAnswer(&peerAnswer{Changes: changes})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := encodeAnswer(&peerAnswer{Changes: changes}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded.bytes)), "wire-bytes")
		})
		b.Run(fmt.Sprintf("decode/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := readAnswer(httpReply(encoded), 0, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
		base, tree := routeTree(40), routeTree(40+routes)
		diff := settings.Diff(base, tree)
		b.Run(fmt.Sprintf("diff/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				settings.Diff(base, tree)
			}
		})
		b.Run(fmt.Sprintf("with/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := base.With(diff); err != nil {
					b.Fatal(err)
				}
			}
		})
		from := settings.Resolve(base, 1)
		b.Run(fmt.Sprintf("validate/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if faults := tree.ValidateFrom(from, diff); faults != nil {
					b.Fatal(faults)
				}
			}
		})
		b.Run(fmt.Sprintf("resolve/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				settings.ResolveFrom(from, tree, 2, diff)
			}
		})
		b.Run(fmt.Sprintf("advance/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			var longest time.Duration
			for b.Loop() {
				began := time.Now()
				pause := func() {
					longest = max(longest, time.Since(began))
					began = time.Now()
				}
				if _, err := settings.Advance(from, 2, diff, pause); err != nil {
					b.Fatal(err)
				}
				pause()
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-piece-us")
		})
		listing := &directory.Listing{Revision: 2, Settings: &directory.Settings{Version: 2, Revision: 2, Tree: tree}}
		full, err := encodeAnswer(&peerAnswer{Listing: listing})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("whole-encode/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := encodeAnswer(&peerAnswer{Listing: listing}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(full.bytes)), "wire-bytes")
		})
		b.Run(fmt.Sprintf("whole-decode/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := readAnswer(httpReply(full), 0, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("whole-replace/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d := directory.New(0)
				d.Replace(0, listing)
				d.View()
			}
		})
	}
}
