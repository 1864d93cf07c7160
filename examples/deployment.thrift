// A deployment: what there is, and what operators want of it.
include "linnetwood.thrift"

const linnetwood.Deployment deployment = {
  "models": [
    {
      "name": "sevak",
      // A manifest is the SHA-256 of the list of a version's chunks.
      "versions": [
        {"name": "v1", "manifest": "6b1f"},
        {"name": "v2", "manifest": "90aa"}
      ],
      // An adapter belongs to one version and never serves with another.
      "adapters": [
        {"name": "gujarati", "base_version": "v1", "manifest": "17c0"}
      ]
    }
  ],
  "services": [
    // Calls under these paths run at most once.
    {"name": "booking", "once_paths": ["/confirm", "/release"]},
    {"name": "register-sync", "checks_fences": true}
  ],
  "organisations": [
    {"name": "camps", "share": 6},
    {"name": "desks", "share": 2}
  ],
  "intents": [
    {
      "model": "sevak",
      "version": "v1",
      "replicas": 6,
      "ready_by_unix_s": 1796200000,
      "weigh": linnetwood.Weigh.TIME,
      "spare_replicas": 1
    }
  ]
}
