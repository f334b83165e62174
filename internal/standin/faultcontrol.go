package standin

import (
	"encoding/json"
	"net/http"
)

// FaultProxyControl serves the control interface of named fault proxies:
//
//	GET  /v1/proxies/NAME        {"address", "target", "fault", "stats"}
//	PUT  /v1/proxies/NAME/fault  replaces the Fault given as JSON
//	POST /v1/proxies/NAME/reset  aborts the open connections
//
// Unknown fields are rejected, so that a misspelt fault is not silently ignored.
func FaultProxyControl(proxies map[string]*FaultProxy) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, f func(p *FaultProxy, w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			p, ok := proxies[r.PathValue("name")]
			if !ok {
				http.Error(w, "no proxy of that name", http.StatusNotFound)
				return
			}
			f(p, w, r)
		})
	}
	handle("GET /v1/proxies/{name}", func(p *FaultProxy, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{
			"address": p.Addr(), "target": p.target, "fault": p.Fault(), "stats": p.Stats(),
		})
	})
	handle("PUT /v1/proxies/{name}/fault", func(p *FaultProxy, w http.ResponseWriter, r *http.Request) {
		var f Fault
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := p.Set(f); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	handle("POST /v1/proxies/{name}/reset", func(p *FaultProxy, w http.ResponseWriter, _ *http.Request) {
		p.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
