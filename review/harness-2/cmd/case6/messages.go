package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// parseOrder reads a call of POST /promote.
func parseOrder(r *http.Request) (order, bool) {
	var body struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		return order{}, false
	}
	return order{body.Service, body.ID, fence}, true
}

// configuration returns a configuration with one database for each service, of which one replica must receive a commit
// before it is acknowledged.
func configuration() string {
	var routes, entries []string
	for _, s := range services {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%s","host":"%s-intake","path_prefix":"/","type":"primary","timeout_ms":1000,`+
			`"goal_ms":200,"priority":1,"service":"%s","attempts":2,"public":false}`, s, s, s))
		entries = append(entries, fmt.Sprintf(`{"name":"%s","health_path":"/health","max_conns":23,"protocol":"h1","tls":false,"sync_replicas":1}`, s))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,`+
		`"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},"tenants":[{"name":"team","api_keys":["secret-key"],`+
		`"priority":1,"rate_per_s":5000,"burst":5000}]}`, strings.Join(routes, ","), strings.Join(entries, ","))
}
