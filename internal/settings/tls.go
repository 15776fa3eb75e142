package settings

// TLS names the certificate files. Connections without them are not encrypted.
type TLS struct {
	// CallerCertFile and CallerKeyFile are the certificate and key for callers.
	CallerCertFile string `json:"caller_cert_file"`
	CallerKeyFile  string `json:"caller_key_file"`
	// PeerCertFile, PeerKeyFile and PeerCAFile are used for mutual TLS between daemons.
	PeerCertFile string `json:"peer_cert_file"`
	PeerKeyFile  string `json:"peer_key_file"`
	PeerCAFile   string `json:"peer_ca_file"`
}
