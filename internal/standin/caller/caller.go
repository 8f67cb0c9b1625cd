// Package caller is a stand-in for callers: CoAP clients that open feeds, send
// requests and uploads, and report the outcome of each.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"golang.org/x/sync/errgroup"
)

// Config configures callers.
type Config struct {
	// Name is the prefix of request identifiers.
	Name string
	// Feed, Run and Upload are the addresses of the services.
	Feed, Run, Upload string
	// Feeds, Runs and Uploads are the numbers of concurrent callers of each kind.
	Feeds, Runs, Uploads int
	// UploadBytes is the size of one upload, in bytes.
	UploadBytes int
	// Duration is how long callers run.
	Duration time.Duration
	// Pause is the time between two requests of one caller.
	Pause time.Duration
	// StallTimeout is the time without an update after which a feed counts as broken.
	StallTimeout time.Duration
}

// Report sums up the outcomes of all callers.
type Report struct {
	Feeds        int `json:"feeds"`
	BrokenFeeds  int `json:"broken_feeds"`
	MovedFeeds   int `json:"moved_feeds"`
	Updates      int `json:"updates"`
	LongestPause int `json:"longest_pause_ms"`
	Requests     int `json:"requests"`
	Answered     int `json:"answered"`
	NotRun       int `json:"not_run"`
	Unknown      int `json:"unknown"`
	WrongAnswers int `json:"wrong_answers"`
	Uploads      int `json:"uploads"`
	WholeUploads int `json:"whole_uploads"`
	// Outcomes has the outcome of each request by its identifier.
	Outcomes map[string]string `json:"said"`
}

// Outcomes of requests, as callers see them.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not run"
	OutcomeUnknown  = "unknown"
)

type callers struct {
	config Config
	mutex  sync.Mutex
	report Report
}

// Run runs the callers and returns their report.
func Run(ctx context.Context, config Config) (Report, error) {
	c := &callers{config: config, report: Report{Outcomes: map[string]string{}}}
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var group errgroup.Group
	for i := range config.Feeds {
		group.Go(func() error { return c.feed(ctx, i) })
	}
	for i := range config.Runs {
		group.Go(func() error { return c.runs(ctx, i) })
	}
	for i := range config.Uploads {
		group.Go(func() error { return c.uploads(ctx, i) })
	}
	err := group.Wait()
	return c.report, err
}

// answerTimeout is how long a caller waits for the answer to one request.
const answerTimeout = 12 * time.Second

// transferTimeout limits the block-wise transfer of one upload. The client library
// does not retransmit a lost block, so such an upload fails after this time.
const transferTimeout = 12 * time.Second

func dial(target string) (*client.Conn, error) {
	return udp.Dial(target,
		options.WithErrors(func(error) {}),
		options.WithTransmission(1, 500*time.Millisecond, 6),
		options.WithBlockwise(true, 5, transferTimeout))
}

// feed observes one feed until ctx ends.
func (c *callers) feed(ctx context.Context, number int) error {
	connection, err := dial(c.config.Feed)
	if err != nil {
		return err
	}
	defer connection.Close()
	var mutex sync.Mutex
	last := time.Now()
	longest := time.Duration(0)
	updates, moved := 0, false
	origin := ""
	_, err = connection.Observe(ctx, "/feed", func(update *pool.Message) {
		body, _ := update.ReadBody()
		source, _, _ := bytes.Cut(body, []byte(" "))
		mutex.Lock()
		defer mutex.Unlock()
		if origin == "" {
			origin = string(source)
		}
		moved = moved || origin != string(source)
		longest = max(longest, time.Since(last))
		last = time.Now()
		updates++
	})
	<-ctx.Done()
	mutex.Lock()
	defer mutex.Unlock()
	longest = max(longest, time.Since(last))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Feeds++
	c.report.Updates += updates
	c.report.LongestPause = max(c.report.LongestPause, int(longest.Milliseconds()))
	if err != nil || longest > c.config.StallTimeout {
		c.report.BrokenFeeds++
	}
	if moved {
		c.report.MovedFeeds++
	}
	return nil
}

// runs sends requests in sequence, on a new flow every few requests.
func (c *callers) runs(ctx context.Context, number int) error {
	const requestsPerFlow = 4
	var connection *client.Conn
	defer func() {
		if connection != nil {
			connection.Close()
		}
	}()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		if sequence%requestsPerFlow == 0 {
			if connection != nil {
				connection.Close()
			}
			var err error
			if connection, err = dial(c.config.Run); err != nil {
				return err
			}
		}
		c.request(connection, fmt.Sprintf("%s-%d-%d", c.config.Name, number, sequence))
		wait(ctx, c.config.Pause)
	}
	return nil
}

// wait waits for the duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// request sends one request and counts its outcome. It also completes if the
// callers' time ends meanwhile.
func (c *callers) request(connection *client.Conn, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	answer, err := connection.Post(ctx, "/run", message.TextPlain, nil, query(id))
	outcome, wrong := OutcomeUnknown, false
	if err == nil {
		body, _ := answer.ReadBody()
		outcome = outcomeOf(answer.Code())
		wrong = outcome == OutcomeAnswered && string(body) != "ran "+id
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Requests++
	c.countOutcome(id, outcome)
	if wrong {
		c.report.WrongAnswers++
	}
}

func (c *callers) countOutcome(id, outcome string) {
	c.report.Outcomes[id] = outcome
	switch outcome {
	case OutcomeAnswered:
		c.report.Answered++
	case OutcomeNotRun:
		c.report.NotRun++
	default:
		c.report.Unknown++
	}
}

func outcomeOf(code codes.Code) string {
	switch code {
	case codes.Content, codes.Changed:
		return OutcomeAnswered
	case codes.ServiceUnavailable:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func query(id string) message.Option {
	return message.Option{ID: message.URIQuery, Value: []byte("id=" + id)}
}

// uploads sends uploads in sequence, each on a new flow.
func (c *callers) uploads(ctx context.Context, number int) error {
	for sequence := 0; ctx.Err() == nil; sequence++ {
		connection, err := dial(c.config.Upload)
		if err != nil {
			return err
		}
		c.upload(connection, fmt.Sprintf("%s-u%d-%d", c.config.Name, number, sequence))
		connection.Close()
		wait(ctx, c.config.Pause)
	}
	return nil
}

func (c *callers) upload(connection *client.Conn, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	body := bytes.Repeat([]byte("u"), c.config.UploadBytes)
	answer, err := connection.Put(ctx, "/upload", message.AppOctets, bytes.NewReader(body), query(id))
	outcome := OutcomeUnknown
	if err == nil {
		outcome = outcomeOf(answer.Code())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Uploads++
	c.countOutcome(id, outcome)
	if outcome == OutcomeAnswered {
		c.report.WholeUploads++
	}
}
