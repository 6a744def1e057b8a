/**
 * Look-up of routes, models and classes in one configuration.
 *
 * @packageDocumentation
 */
import type { Configuration, Customer, RequestClass, Route } from "@pimentocleat/schema";

/** What serves a path. */
export type RouteMatch =
    | { readonly type: "models" }
    | { readonly type: "modelCall"; readonly kind: "chat" | "completion"; readonly path: string }
    | { readonly type: "plain"; readonly route: Route };

const builtInRoutes: ReadonlyMap<string, RouteMatch> = new Map<string, RouteMatch>([
    ["/v1/models", { type: "models" }],
    ["/v1/chat/completions", { type: "modelCall", kind: "chat", path: "/v1/chat/completions" }],
    ["/v1/completions", { type: "modelCall", kind: "completion", path: "/v1/completions" }],
]);

/** Index of one configuration. */
export class RouteTable {
    private readonly exactRoutes = new Map<string, Route>();
    private readonly prefixRoutes: Route[] = [];
    private readonly poolsByModel = new Map<string, string>();
    private readonly classes: ReadonlyMap<string, RequestClass>;
    private readonly customers: ReadonlyMap<string, Customer>;

    /** @param configuration - The configuration in force. */
    constructor(configuration: Configuration) {
        for (const route of configuration.routes) {
            if (route.path.endsWith("*")) {
                this.prefixRoutes.push(route);
            } else {
                this.exactRoutes.set(route.path, route);
            }
        }
        this.prefixRoutes.sort((left, right) => right.path.length - left.path.length);
        for (const pool of configuration.pools) {
            if (pool.kind === "model") {
                pool.models.forEach((model) => this.poolsByModel.set(model, pool.name));
            }
        }
        this.classes = new Map(configuration.classes.map((entry) => [entry.name, entry]));
        this.customers = new Map(configuration.customers.map((entry) => [entry.name, entry]));
    }

    /**
     * Finds the route of a path; the longest prefix wins.
     *
     * @param path - Path without query.
     * @returns The match, or undefined.
     */
    findRoute(path: string): RouteMatch | undefined {
        const built = builtInRoutes.get(path);
        if (built !== undefined) {
            return built;
        }
        const route =
            this.exactRoutes.get(path) ??
            this.prefixRoutes.find((candidate) => path.startsWith(candidate.path.slice(0, -1)));
        return route === undefined ? undefined : { type: "plain", route };
    }

    /**
     * Finds the pool of a model.
     *
     * @param model - Name of the model.
     * @returns The pool's name, or undefined.
     */
    findPoolOfModel(model: string): string | undefined {
        return this.poolsByModel.get(model);
    }

    /** @returns All models, in order of their names. */
    listModels(): readonly string[] {
        return [...this.poolsByModel.keys()].sort();
    }

    /**
     * Whether a request class exists.
     *
     * @param name - Name of the class.
     * @returns True when it does.
     */
    hasClass(name: string): boolean {
        return this.classes.has(name);
    }

    /**
     * Whether a customer may use a class.
     *
     * @param customer - Name of the customer.
     * @param requestClass - Name of the class.
     * @returns True when it may.
     */
    isClassAllowed(customer: string, requestClass: string): boolean {
        return this.customers.get(customer)?.classes?.includes(requestClass) ?? true;
    }
}
