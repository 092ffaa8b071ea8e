package io.review;

/** Configurations as the operator writes them. */
final class Config {
    private Config() {}

    /** One route to one plain service, with the limits of the pages' example. */
    static String plain(String kind) {
        return """
                {"version":7,"routes":[{"name":"r-orders","host":"app.example","path_prefix":"/orders/","kind":"%s",
                "timeout_ms":3000,"goal_ms":300,"priority":2,"service":"desk","max_attempts":%d,"public":false}],
                "services":[{"name":"desk","health_path":"/health","max_conns":257,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"""
                .formatted(kind, kind.equals("unsafe") ? 1 : 2)
                .replace("\n", "");
    }

    /** One route of resumable streams to one service of model engines; its model takes some engines. */
    static String pool(int size) {
        return """
                {"version":7,"routes":[{"name":"r-notes","host":"app.example","path_prefix":"/notes/","kind":"stream",
                "timeout_ms":8000,"goal_ms":300,"priority":1,"service":"pool","max_attempts":2,"public":false,"sticky":true,
                "resumable":true,"gap_target_ms":300}],
                "services":[{"name":"pool","health_path":"/health","max_conns":1106,"protocol":"h1","tls":false,"engine":{
                "slots":18,"kv_tokens":1100769,"stride":7,
                "models":[{"name":"daka510000","size":%d,"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":1.1}],
                "step_ms":5.95,"per_seq_ms":0.064,"context_per_k":0.0117,"read_per_s":50700.0,"pairs_per_m":0.368,
                "chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.5,"loads_at_once":6,"delays":[],
                "usual":{"prompt":1115,"answer":178},"keeps":1,"far_x":2.5,"form_ms":300.0}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"""
                .formatted(size)
                .replace("\n", "");
    }
}
