package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// Guards against announcements that control rejects, and against an upstream that
// stops without announcing that it leaves.
func TestAnnouncesJoiningThenLeaving(t *testing.T) {
	received := make(chan Upstream, 2)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var u Upstream
		if r.Method != http.MethodPost || r.URL.Path != "/v1/upstreams" || r.Header.Get("Authorization") != "Bearer secret" {
			t.Errorf("unexpected request %s %s", r.Method, r.URL)
		}
		if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
			t.Error(err)
		}
		received <- u
	}))
	defer control.Close()
	ctx, cancel := context.WithCancel(t.Context())
	upstream := Upstream{Service: "wax", Group: "g1", Address: "10.0.0.1:5432", Place: "kef", ConnectionLimit: 25}
	a := New([]string{control.URL}, "secret", upstream, logrus.NewEntry(logrus.New()))
	stopped := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(stopped)
	}()
	upstream.State = Joining
	if diff := cmp.Diff(upstream, <-received); diff != "" {
		t.Fatal(diff)
	}
	cancel()
	<-stopped
	a.Leave(t.Context())
	upstream.State = Leaving
	if diff := cmp.Diff(upstream, <-received); diff != "" {
		t.Fatal(diff)
	}
}
