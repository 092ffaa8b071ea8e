/** What operators configure: routes, services, models and client accounts, and how long a copy of it may be used. */
package io.sesamehead.coordination.catalog;
