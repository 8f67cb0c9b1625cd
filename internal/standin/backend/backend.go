// Package backend is a stand-in for a back end: a CoAP server behind the PROXY
// protocol, with a limited number of slots and a record of what it ran.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/mux"
	coapnet "github.com/plgd-dev/go-coap/v3/net"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/server"
	"golang.org/x/sync/errgroup"

	"gaugeyard/internal/discovery"
	"gaugeyard/internal/flow"

	"gaugeyard/internal/wire"
)

// Config configures a back end.
type Config struct {
	// Address receives datagrams of balancers; Report serves load and record
	// over HTTP.
	Address, Report netip.AddrPort
	// Return is the fabric's address for answers.
	Return netip.AddrPort
	// Services are the service addresses that the back end serves.
	Services []netip.AddrPort
	// Slots is the number of requests served at once; others wait.
	Slots int
	// Work is how long a request holds a slot.
	Work time.Duration
	// Interval is the time between two notifications of a feed.
	Interval time.Duration
}

// Record is what a back end ran.
type Record struct {
	Name string `json:"name"`
	// Runs counts how often each identified request ran.
	Runs map[string]int `json:"runs"`
	// Uploads has the size in bytes of each complete upload.
	Uploads map[string]int `json:"uploads"`
	// Misrouted counts datagrams of other services.
	Misrouted int `json:"misrouted"`
	// Flows counts flows.
	Flows int `json:"flows"`
	// LastNewFlow is when the newest flow opened.
	LastNewFlow time.Time `json:"last_new_flow"`
}

// Backend is a running back end.
type Backend struct {
	config Config
	socket *net.UDPConn
	slots  chan struct{}

	mutex  sync.Mutex
	busy   int
	record Record
	// sockets has the local socket to the CoAP server for each flow.
	sockets map[flow.Key]*net.UDPConn
}

// New returns a back end with an open socket.
func New(config Config) (*Backend, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, err
	}
	return &Backend{
		config:  config,
		socket:  socket,
		slots:   make(chan struct{}, config.Slots),
		record:  Record{Name: config.Address.String(), Runs: map[string]int{}, Uploads: map[string]int{}},
		sockets: map[flow.Key]*net.UDPConn{},
	}, nil
}

// maxUpload is the limit of one upload, in bytes.
const maxUpload = 8 << 20

// Run serves until ctx ends.
func (b *Backend) Run(ctx context.Context) error {
	router := mux.NewRouter()
	for path, handler := range map[string]mux.HandlerFunc{"/feed": b.feed, "/run": b.run, "/upload": b.upload} {
		if err := router.Handle(path, handler); err != nil {
			return err
		}
	}
	coapListener, err := coapnet.NewListenUDP("udp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	coap := udp.NewServer(options.WithMux(router), options.WithContext(ctx), options.WithMaxMessageSize(maxUpload),
		options.WithErrors(func(error) {}))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return coap.Serve(coapListener) })
	group.Go(func() error { return b.receive(ctx, coapListener) })
	group.Go(func() error { return b.serveReport(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return b.stop(coap, coapListener)
	})
	return group.Wait()
}

func (b *Backend) stop(coap *server.Server, coapListener *coapnet.UDPConn) error {
	coap.Stop()
	coapListener.Close()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, socket := range b.sockets {
		socket.Close()
	}
	return b.socket.Close()
}

// receive forwards datagrams of balancers to the CoAP server. Each flow has
// its own local socket, so that the server can distinguish callers.
func (b *Backend) receive(ctx context.Context, coapListener *coapnet.UDPConn) error {
	buffer := make([]byte, wire.MaxDatagram)
	for {
		length, _, err := b.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		header, body, err := wire.Split(buffer[:length])
		if err != nil {
			continue
		}
		if !slices.Contains(b.config.Services, header.Flow.Service) {
			b.mutex.Lock()
			b.record.Misrouted++
			b.mutex.Unlock()
			continue
		}
		socket, err := b.socketOf(ctx, header.Flow, coapListener)
		if err == nil {
			_, _ = socket.Write(body)
		}
	}
}

func (b *Backend) socketOf(ctx context.Context, key flow.Key, coapListener *coapnet.UDPConn) (*net.UDPConn, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if socket := b.sockets[key]; socket != nil {
		return socket, nil
	}
	socket, err := net.DialUDP("udp", nil, coapListener.LocalAddr().(*net.UDPAddr))
	if err != nil {
		return nil, err
	}
	header, err := wire.AnswerHeader(key, b.config.Address)
	if err != nil {
		return nil, err
	}
	b.sockets[key] = socket
	b.record.Flows++
	b.record.LastNewFlow = time.Now()
	go b.returnAnswers(ctx, socket, header)
	return socket, nil
}

// returnAnswers forwards the server's answers of one flow to the fabric.
func (b *Backend) returnAnswers(ctx context.Context, socket *net.UDPConn, header []byte) {
	buffer := make([]byte, wire.MaxDatagram)
	copy(buffer, header)
	for ctx.Err() == nil {
		length, err := socket.Read(buffer[len(header):])
		if err != nil {
			return
		}
		_, _ = b.socket.WriteToUDPAddrPort(buffer[:len(header)+length], b.config.Return)
	}
}

// work waits for a slot and holds it for the time of one request.
func (b *Backend) work() {
	b.addBusy(1)
	b.slots <- struct{}{}
	time.Sleep(b.config.Work)
	<-b.slots
	b.addBusy(-1)
}

func (b *Backend) addBusy(change int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy += change
}

// requestID returns the request's identifier from its query, such as id=7,
// or "" if it has none.
func requestID(r *mux.Message) string {
	queries, _ := r.Queries()
	for _, query := range queries {
		if id, found := strings.CutPrefix(query, "id="); found {
			return id
		}
	}
	return ""
}

func (b *Backend) run(w mux.ResponseWriter, r *mux.Message) {
	b.work()
	b.mutex.Lock()
	b.record.Runs[requestID(r)]++
	b.mutex.Unlock()
	_ = w.SetResponse(codes.Content, message.TextPlain, strings.NewReader("ran "+requestID(r)))
}

func (b *Backend) upload(w mux.ResponseWriter, r *mux.Message) {
	body, err := r.ReadBody()
	if err != nil {
		_ = w.SetResponse(codes.RequestEntityIncomplete, message.TextPlain, nil)
		return
	}
	b.work()
	b.mutex.Lock()
	b.record.Runs[requestID(r)]++
	b.record.Uploads[requestID(r)] = len(body)
	b.mutex.Unlock()
	_ = w.SetResponse(codes.Changed, message.TextPlain, nil)
}

func (b *Backend) feed(w mux.ResponseWriter, r *mux.Message) {
	if _, err := r.Observe(); err != nil {
		_ = w.SetResponse(codes.Content, message.TextPlain, strings.NewReader("feed"))
		return
	}
	token := slices.Clone(r.Token())
	connection := w.Conn()
	_ = w.SetResponse(codes.Content, message.TextPlain, strings.NewReader(b.config.Address.String()+" 0"), message.Option{ID: message.Observe, Value: []byte{1}})
	go func() {
		for sequence := uint32(2); connection.Context().Err() == nil; sequence++ {
			time.Sleep(b.config.Interval)
			if b.notify(connection, token, sequence) != nil {
				return
			}
		}
	}()
}

func (b *Backend) notify(connection mux.Conn, token message.Token, sequence uint32) error {
	notification := connection.AcquireMessage(connection.Context())
	defer connection.ReleaseMessage(notification)
	notification.SetCode(codes.Content)
	notification.SetToken(token)
	notification.SetObserve(sequence)
	notification.SetContentFormat(message.TextPlain)
	notification.SetBody(bytes.NewReader(fmt.Appendf(nil, "%s %d", b.config.Address, sequence)))
	return connection.WriteMessage(notification)
}

// serveReport serves /metrics and /record.
func (b *Backend) serveReport(ctx context.Context) error {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		fmt.Fprintf(w, "%s %d\n%s %d\n", discovery.GaugeBusy, b.busy, discovery.GaugeSlots, b.config.Slots)
	})
	handler.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(b.record)
	})
	reports := &http.Server{Addr: b.config.Report.String(), Handler: handler}
	stop := context.AfterFunc(ctx, func() { reports.Close() })
	defer stop()
	if err := reports.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
