package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// RegisterHandlers registers the relay's HTTP API on mux: POST /cut, /heal, /drop and
// /delay?ms=…. For /cut and /delay, direction=up or direction=down selects one
// direction.
func (r *Relay) RegisterHandlers(mux *http.ServeMux) {
	handlePost(mux, "/cut", func(q *http.Request) error {
		return r.Cut(requestedDirection(q))
	})
	handlePost(mux, "/delay", func(q *http.Request) error {
		ms, err := strconv.Atoi(q.FormValue("ms"))
		if err != nil {
			return errors.New("ms must be a number of milliseconds")
		}
		return r.Delay(requestedDirection(q), time.Duration(ms)*time.Millisecond)
	})
	handlePost(mux, "/heal", func(*http.Request) error {
		r.Heal()
		return nil
	})
	handlePost(mux, "/drop", func(*http.Request) error {
		r.Drop()
		return nil
	})
}

func requestedDirection(q *http.Request) Direction { return Direction(q.FormValue("direction")) }

func handlePost(mux *http.ServeMux, path string, f func(*http.Request) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) {
		if err := f(q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
