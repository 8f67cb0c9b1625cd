package tagged

import (
	"testing"
	"time"
)

// TestClientAcceptsEachAnswerOnce checks that a second copy of an earlier answer, caused by
// a retransmitted request, is not taken for the current one.
func TestClientAcceptsEachAnswerOnce(t *testing.T) {
	router, err := newRouter(nil, "", newLinks())
	if err != nil {
		t.Fatal(err)
	}
	defer router.socket.Close()
	c := &client{router: router, checker: newChecker(), service: feedRoute, inbox: make(chan packet, 4)}
	f := &flow{source: testCaller, sequence: 10, ack: 107, tag: 1, open: true}
	c.inbox <- packet{source: feedRoute, destination: testCaller, flags: flagACK, sequence: 100, tag: 1, data: []byte("earlier")}
	c.inbox <- packet{source: feedRoute, destination: testCaller, flags: flagACK, sequence: 107, tag: 1, data: []byte("new")}
	if reply, ok := c.exchange(f, "request", time.Now().Add(time.Second)); !ok || reply != "new" {
		t.Errorf("exchange returns %q, %v", reply, ok)
	}
}

// TestServerRepeatsAnswerWithSameSequence checks that a retransmitted request gets the same
// answer under the same sequence number.
func TestServerRepeatsAnswerWithSameSequence(t *testing.T) {
	f := &serverFlow{sequence: 100, next: 101, answers: map[string]serverAnswer{}}
	first, ran := f.answerTo("a", "12345")
	again, ranAgain := f.answerTo("a", "12345")
	second, _ := f.answerTo("b", "123")
	if !ran || ranAgain || first.sequence != 101 || again != first || second.sequence != 106 {
		t.Errorf("%+v %v, %+v %v, %+v", first, ran, again, ranAgain, second)
	}
}
