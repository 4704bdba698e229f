package modelserver

import (
	"encoding/json"
	"net/http"
)

// report is the body of GET /report: the server's state.
type report struct {
	Stage    string        `json:"stage"` // prefill, decode or both
	Models   []reportModel `json:"models"`
	Busy     bool          `json:"busy"`
	Sequence int           `json:"sequence"`
	Waiting  int64         `json:"waiting"`
	Running  int           `json:"running"`
	KVUsed   int           `json:"kv-used"`  // tokens
	KVTotal  int           `json:"kv-total"` // tokens
	Handles  int           `json:"handles"`
}

type reportModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report{ // fails only where the client has closed the connection
		Stage:   "both",
		Models:  []reportModel{{Name: "m", Generation: 1, Adapters: []string{}}},
		Waiting: s.queued.Load(),
		Running: s.Running(),
		KVUsed:  s.cache.used(),
		KVTotal: s.options.KVTokens,
	})
}
